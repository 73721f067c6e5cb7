import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { FakeClusterWorker } from '../fakes/fakeClusterWorkers.js'
import { WorkerStandin } from './workerStandin.js'

const HANDLING_MILLISECONDS = 100
const ACKNOWLEDGEMENT = JSON.stringify({ fence: 1, seenUpto: 7 })
const HEAD = `POST /v1/hold HTTP/1.1\r\nhost: worker\r\nvanillaturn-target-instance: i-1\r\ncontent-length: ${ACKNOWLEDGEMENT.length}\r\n\r\n`

const cases: ReadonlyArray<{ readonly name: string, readonly sent: readonly string[], readonly isRestarted: boolean, readonly sentAfterRestart?: string, readonly acknowledged: number }> = [
  { name: 'a request is handled', sent: [HEAD + ACKNOWLEDGEMENT], isRestarted: false, acknowledged: 7 },
  { name: 'a request that was not read before a restart is lost', sent: [HEAD + ACKNOWLEDGEMENT], isRestarted: true, acknowledged: 0 },
  { name: 'a request of which a part was read before a restart is lost', sent: [HEAD, ACKNOWLEDGEMENT], isRestarted: true, acknowledged: 0 },
  { name: 'a request on a connection of the former process is lost', sent: [], isRestarted: true, sentAfterRestart: HEAD + ACKNOWLEDGEMENT, acknowledged: 0 }
]

describe('WorkerStandin', () => {
  for (const { name, sent, isRestarted, sentAfterRestart, acknowledged } of cases) {
    it(name, async () => {
      const worker = new FakeClusterWorker('i-1', 1, () => 0)
      const standin = await new WorkerStandin(worker).listen()
      const { hostname, port } = new URL(standin.address)
      const socket = connect({ host: hostname, port: Number(port), noDelay: true })
      socket.on('error', () => {}) // The restart resets the connection.
      try {
        await delay(HANDLING_MILLISECONDS)
        for (const part of sent) {
          socket.write(part)
          if (part !== sent.at(-1)) await delay(HANDLING_MILLISECONDS)
        }
        if (isRestarted) standin.restart()
        if (sentAfterRestart !== undefined) socket.write(sentAfterRestart)
        await delay(HANDLING_MILLISECONDS)
        assert.equal(worker.acknowledgedEnd, acknowledged)
      } finally {
        socket.destroy()
        standin.dispose()
      }
    })
  }
})
