import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import FakeTimers from '@sinonjs/fake-timers'
import { BoundedLineWriter, type WriteBytes } from '../../src/base/boundedLineWriter.js'

describe('BoundedLineWriter', () => {
  /** Guards against lines lost or reordered by partial or refused writes, and against dropped lines that are not counted. */
  const READERS: ReadonlyArray<{ readonly name: string, readonly write: (output: string[]) => WriteBytes, readonly lines: number, readonly expected: (output: string) => void }> = [
    {
      name: 'writes lines in order',
      write: output => (bytes, callback) => { output.push(bytes.toString()); callback(null, bytes.length) },
      lines: 3,
      expected: output => assert.equal(output, 'line 0\nline 1\nline 2\n')
    },
    {
      name: 'continues after partial writes',
      write: output => (bytes, callback) => { output.push(bytes.subarray(0, 5).toString()); callback(null, Math.min(5, bytes.length)) },
      lines: 3,
      expected: output => assert.equal(output, 'line 0\nline 1\nline 2\n')
    },
    {
      name: 'counts the lines above the rate limit',
      write: output => (bytes, callback) => { output.push(bytes.toString()); callback(null, bytes.length) },
      lines: 5000,
      expected: output => {
        assert.equal(output.split('\n').length, 2002)
        assert.match(output, /omitted 3000\n$/)
      }
    },
    {
      name: 'retries while the reader is busy',
      write: output => {
        let refusals = 3
        return (bytes, callback) => {
          if (refusals-- > 0) callback(Object.assign(new Error('busy'), { code: 'EAGAIN' }), 0)
          else { output.push(bytes.toString()); callback(null, bytes.length) }
        }
      },
      lines: 1,
      expected: output => assert.equal(output, 'line 0\n')
    }
  ]
  for (const { name, write, lines, expected } of READERS) {
    it(name, async () => {
      const clock = FakeTimers.install()
      const output: string[] = []
      const writer = new BoundedLineWriter(write(output), count => `omitted ${count}`, () => performance.now())
      try {
        for (let line = 0; line < lines; line += 1) writer.writeLine(`line ${line}`)
        await clock.tickAsync(500)
        expected(output.join(''))
      } finally {
        writer.dispose()
        clock.uninstall()
      }
    })
  }

  it('queues a bounded number of bytes for a reader that has stopped', async () => {
    const clock = FakeTimers.install()
    const writer = new BoundedLineWriter(() => {}, count => `omitted ${count}`, () => performance.now())
    try {
      for (let second = 0; second < 20; second += 1) {
        for (let line = 0; line < 1000; line += 1) writer.writeLine('x'.repeat(200))
        await clock.tickAsync(1000)
      }
      assert.ok(writer.queuedBytes <= 512 * 1024, `${writer.queuedBytes} bytes are queued`)
    } finally {
      writer.dispose()
      clock.uninstall()
    }
  })
})
