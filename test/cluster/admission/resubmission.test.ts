import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Logger } from '../../../src/base/logger.js'
import { Random } from '../../../src/base/random.js'
import type { JobStatus } from '../../../src/cluster/activeScheduler.js'
import { JobService, type SubmitResult } from '../../../src/cluster/jobService.js'
import { TOPICS } from '../../../src/cluster/recordLog.js'
import type { Organisation, Queue } from '../../../src/contracts/clusterConfiguration.js'
import { stepJobSchema } from '../../../src/contracts/stepJob.js'
import { FakeRecordLog } from '../../fakes/fakeRecordLog.js'
import { PausedClock } from '../../fakes/pausedClock.js'

const JOB = '00000000000000aa'
const QUEUE: Queue = { name: 'queue', host: 'h', routePrefix: '/q/', pool: 'pool', priority: 0, attempts: 2, stretch: 2, targetMilliseconds: 500 }
/** The cap has been lowered below the gang since the job was accepted by another instance. */
const ACME: Organisation = { name: 'acme', apiKeys: [], weight: 1, cap: { processorsThousandths: 1000, memoryMegabytes: 0, accelerators: 0 } }
const WIDE_GANG = stepJobSchema.parse({ specification: '', steps: [{ count: 4, processorsThousandths: 1000, estimateMilliseconds: 100, gang: true }] })
const ACCESS = { check: () => ({ kind: 'granted' as const, caller: { isUnrestricted: false, organisation: 'acme' } }) }

let clock: PausedClock
beforeEach(() => { clock = new PausedClock() })
afterEach(() => clock.uninstall())

async function withService (status: JobStatus | undefined, body: (service: JobService, log: FakeRecordLog) => Promise<void>): Promise<void> {
  const log = new FakeRecordLog(1)
  const queries = { getJobStatus: async () => { assert.fail('the state may be old') }, getCurrentJobStatus: async () => status, countWaitingJobs: async () => 0 }
  const service = new JobService(log, queries, new Logger('test', 'error', () => {}), new Random(1), () => performance.now(), () => ACME)
  try {
    await body(service, log)
  } finally {
    service.dispose()
  }
}

describe('a retry of a job whose gang has become wider than the cap', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly status: JobStatus | undefined, readonly result: SubmitResult['kind'] }> = [
    { name: 'stored through another instance', status: { state: 'pending', organisation: 'acme' }, result: 'accepted' },
    { name: 'finished already', status: { state: 'completed', organisation: 'acme' }, result: 'accepted' },
    { name: 'stored for another organisation', status: { state: 'running', organisation: 'bolt' }, result: 'identityTaken' },
    { name: 'never stored', status: { state: 'unknown' }, result: 'refused' },
    { name: 'of a scheduler that has not read the log', status: { state: 'unsure' }, result: 'unknown' },
    { name: 'without a scheduler', status: undefined, result: 'unknown' }
  ]
  for (const { name, status, result } of CASES) {
    it(`${name}: ${result}`, async () => await withService(status, async (service, log) => {
      assert.equal((await service.submit(JOB, QUEUE, WIDE_GANG, 3000, ACCESS)).kind, result)
      assert.equal(log.latestValue(TOPICS.submissions, JOB), undefined)
    }))
  }
})
