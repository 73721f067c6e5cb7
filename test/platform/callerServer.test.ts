import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CallerServer, type CallerServices } from '../../platform/callerServer.js'
import { Logger } from '../../src/base/logger.js'
import { ClusterMetrics } from '../../src/cluster/clusterMetrics.js'
import type { SubmitResult } from '../../src/cluster/jobService.js'
import { UNRESTRICTED_ACCESS } from '../../src/cluster/organisations/accessControl.js'
import { RawCaller, untilTrue } from '../fakes/rawCaller.js'

const GRACE_MILLISECONDS = 20_000
const BODY = JSON.stringify({ spec: 's', steps: [{ count: 1, millicpus: 1000, memMb: 100, estMs: 100 }] })
const HEAD = `host: h\r\ncontent-type: application/json\r\ncontent-length: ${BODY.length}\r\n\r\n`
const GET = 'GET /q/ HTTP/1.1\r\nhost: h\r\n\r\n'

function post (identity: string): string {
  return `POST /q/${identity} HTTP/1.1\r\n${HEAD}${BODY}`
}

/** A caller server with a fake job service that stores jobs when the test calls `storeAll`. */
class Fixture {
  readonly pendingSubmits: Array<() => void> = []
  readonly callers: RawCaller[] = []
  readonly server: CallerServer
  port = 0

  constructor () {
    const services: CallerServices = {
      configuration: {
        revision: 1,
        queues: [{ name: 'queue', host: 'h', routePrefix: '/q/', pool: 'pool', priority: 0, attempts: 2, stretch: 2, targetMilliseconds: 500, eligibility: { decisionMilliseconds: 1, perWorkerMilliseconds: 0, ticketMilliseconds: 2000 } }],
        organisations: [],
        pools: [],
        maximumBodyBytes: 10_000
      },
      accessControl: { accessOf: () => UNRESTRICTED_ACCESS },
      jobService: {
        submit: async () => await new Promise<SubmitResult>(resolve => { this.pendingSubmits.push(() => resolve({ kind: 'accepted' })) }),
        refuseExcess: async () => ({ kind: 'unknown' }),
        getState: async () => 'pending',
        cancel: async () => 'cancelled',
        countWaitingJobs: async () => 3
      }
    }
    this.server = new CallerServer(services, new ClusterMetrics(), new Logger('test', 'error', () => {}), () => performance.now())
  }

  /** Connects a caller whose connection has served one request and stays open. */
  async connectPersistent (): Promise<RawCaller> {
    const caller = new RawCaller(this.port)
    this.callers.push(caller)
    caller.write(GET)
    await untilTrue(() => caller.received.includes('"waiting":3'))
    caller.received = ''
    return caller
  }

  prepareShutdown (): number {
    const deadline = performance.now() + GRACE_MILLISECONDS
    this.server.prepareShutdown(deadline)
    return deadline
  }

  storeAll (): void {
    for (const store of this.pendingSubmits.splice(0)) store()
  }
}

/** Asserts that a connection is closed in an orderly way after responses with these statuses, and that only the last one announces the close. */
async function assertClosedAfter (caller: RawCaller, statuses: readonly number[]): Promise<void> {
  await untilTrue(() => caller.ended !== 'no')
  assert.deepEqual({ statuses: caller.statuses, closings: caller.closeHeaderCount, ended: caller.ended }, { statuses, closings: 1, ended: 'orderly' })
}

/** Each case guards against a graceful shutdown that drops a request which the process has read or the kernel has accepted. */
const CASES: ReadonlyArray<{ readonly name: string, readonly run: (fixture: Fixture) => Promise<void> }> = [
  {
    name: 'a job that is being stored',
    run: async fixture => {
      const caller = await fixture.connectPersistent()
      caller.write(post('00000000000000aa'))
      await untilTrue(() => fixture.pendingSubmits.length === 1)
      const drained = fixture.server.drain(fixture.prepareShutdown())
      fixture.storeAll()
      await assertClosedAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'pipelined jobs that are being stored',
    run: async fixture => {
      const caller = await fixture.connectPersistent()
      caller.write(post('00000000000000aa') + post('00000000000000ab'))
      await untilTrue(() => fixture.pendingSubmits.length === 2)
      const drained = fixture.server.drain(fixture.prepareShutdown())
      fixture.storeAll()
      await assertClosedAfter(caller, [200, 200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a request that arrives on an idle connection as the shutdown starts',
    run: async fixture => {
      const caller = await fixture.connectPersistent()
      caller.write(GET)
      fixture.prepareShutdown()
      await assertClosedAfter(caller, [200])
    }
  },
  {
    name: 'a request on an idle connection while the load balancer still sends requests',
    run: async fixture => {
      const caller = await fixture.connectPersistent()
      fixture.prepareShutdown()
      for (let turns = 0; turns < 20; turns += 1) await new Promise(resolve => setImmediate(resolve))
      caller.write(GET)
      await assertClosedAfter(caller, [200])
    }
  },
  {
    name: 'requests on connections that are not accepted yet when listening ends',
    run: async fixture => {
      const deadline = fixture.prepareShutdown()
      const callers = Array.from({ length: 30 }, () => new RawCaller(fixture.port))
      fixture.callers.push(...callers)
      for (const caller of callers) caller.write(GET)
      const drained = fixture.server.drain(deadline)
      for (const caller of callers) await assertClosedAfter(caller, [200])
      assert.equal(await drained, 0)
    }
  },
  {
    name: 'a job whose body does not arrive before the shutdown deadline with 503, without storing it',
    run: async fixture => {
      const caller = await fixture.connectPersistent()
      fixture.server.prepareShutdown(performance.now() + 50)
      caller.write(post('00000000000000aa').slice(0, -2))
      await assertClosedAfter(caller, [503])
      assert.match(caller.received, /\r\nretry-after: 1\r\n/)
      assert.equal(fixture.pendingSubmits.length, 0)
    }
  }
]

describe('CallerServer of the platform during a graceful shutdown', () => {
  for (const { name, run } of CASES) {
    it(`answers ${name}`, { timeout: 20_000 }, async () => {
      const fixture = new Fixture()
      fixture.port = await fixture.server.listen({ host: '127.0.0.1', port: 0 })
      try {
        await run(fixture)
      } finally {
        for (const caller of fixture.callers) caller.socket.destroy()
        fixture.server.dispose()
      }
    })
  }
})
