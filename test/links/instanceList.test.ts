import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { Agent } from 'undici'
import { Logger } from '../../src/base/logger.js'
import { HttpInstanceList } from '../../src/links/instanceList.js'

const EXECUTOR = { kind: 'executor', name: 'e1', failureDomain: 'zone', address: 'http://127.0.0.1:7001', state: 'live', pool: 'pool' }
const ENTRY = { kind: 'entry', name: 'i1', failureDomain: 'zone', address: 'ws://127.0.0.1:7002', state: 'live', callerAddress: 'http://127.0.0.1:7003' }
const NESTING_DEPTH = 100_000

/** Serves the text as the platform's list and fetches it `times` times. Returns the names that were listed and the lines that were logged. */
async function fetchNames (instances: string, times: number): Promise<{ readonly names: string[], readonly lines: string[] }> {
  const server = createServer(socket => {
    const body = `{"instances":${instances}}`
    socket.on('error', () => {})
    socket.on('data', () => socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const agent = new Agent()
  const lines: string[] = []
  try {
    const list = new HttpInstanceList(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, agent, new Logger('test', 'warn', line => lines.push(line)))
    let names: string[] = []
    for (let count = 0; count < times; count += 1) names = (await list.fetch()).map(({ name }) => name)
    return { names, lines }
  } finally {
    await agent.destroy()
    server.close()
  }
}

/** Guards against one malformed entry of another writer that keeps the whole list from being used, or that ends the processes which connect to its address. */
describe('HttpInstanceList', () => {
  const UNUSABLE: ReadonlyArray<{ readonly name: string, readonly text: string }> = [
    { name: 'null', text: 'null' },
    { name: 'a list', text: '[]' },
    { name: 'an unknown kind', text: JSON.stringify({ ...EXECUTOR, kind: 'printer' }) },
    { name: 'an unknown state', text: JSON.stringify({ ...EXECUTOR, state: 'resting' }) },
    { name: 'a name that is a number', text: JSON.stringify({ ...EXECUTOR, name: 5 }) },
    { name: 'no address', text: JSON.stringify({ ...EXECUTOR, address: undefined }) },
    { name: 'an address that is no origin', text: JSON.stringify({ ...EXECUTOR, address: 'nowhere' }) },
    { name: 'an address with a port out of range', text: JSON.stringify({ ...EXECUTOR, address: 'http://127.0.0.1:70000' }) },
    { name: 'an address with a path', text: JSON.stringify({ ...EXECUTOR, address: 'http://127.0.0.1:7001/run' }) },
    { name: 'an address with another protocol', text: JSON.stringify({ ...EXECUTOR, address: 'file:///etc' }) },
    { name: 'a link address with a port out of range', text: JSON.stringify({ ...ENTRY, name: 'i2', address: 'ws://127.0.0.1:70000' }) },
    { name: 'the address of an executor as its link address', text: JSON.stringify({ ...ENTRY, name: 'i2', address: EXECUTOR.address }) },
    { name: 'an address for callers with a port out of range', text: JSON.stringify({ ...ENTRY, name: 'i2', callerAddress: 'http://127.0.0.1:70000' }) },
    { name: 'a deeply nested address', text: `{"kind":"executor","name":"e2","address":${'['.repeat(NESTING_DEPTH)}${']'.repeat(NESTING_DEPTH)}}` }
  ]
  for (const { name, text } of UNUSABLE) {
    it(`returns the other entries beside one with ${name}, and logs it once`, async () => {
      const { names, lines } = await fetchNames(`[${text},${JSON.stringify(ENTRY)},${JSON.stringify(EXECUTOR)}]`, 2)
      assert.deepEqual(names, ['i1', 'e1'])
      assert.equal(lines.filter(line => line.includes('unusable entries in the instance list')).length, 1)
    })
  }
})
