import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { explainHistory, formatHistory, selectHistory } from '../../src/operator/jobHistory.js'
import { parseLog } from '../../src/operator/logLine.js'

const START = Date.parse('2026-05-04T13:00:00.000Z')

function line (milliseconds: number, message: string, fields: object = {}, process = 'entry-1'): string {
  return JSON.stringify({ type: 'log', time: new Date(START + milliseconds).toISOString(), level: 'info', process, message, ...fields })
}

const ACCEPTED = line(0, 'job accepted', { job: 'aa', durationMilliseconds: 12 })
const STARTED = { task: 'aa.0.0.0', worker: 'w1', count: 1 }

describe('explainHistory', () => {
  const CASES: ReadonlyArray<{ readonly name: string, readonly lines: readonly string[], readonly sentences: readonly string[] }> = [
    {
      name: 'a job refused by every instance',
      lines: [line(0, 'job refused', { job: 'aa', reason: 'the log is away' }), line(1000, 'job refused', { job: 'aa', reason: 'the log did not take the job' }, 'entry-2')],
      sentences: ['refused by entry-1: the log is away; nothing was stored', 'refused by entry-2: the log did not take the job; nothing was stored', 'never accepted: the job did not run', 'no end is logged']
    },
    {
      name: 'a job whose calls were refused for their key',
      lines: [
        line(0, 'call refused', { queue: 'orders', job: 'aa', reason: 'the API key is not known' }),
        line(400, 'call refused', { queue: 'orders', job: 'aa', reason: 'the API key is not known' }),
        line(900, 'call refused', { queue: 'orders', job: 'aa', reason: 'the API keys were read too long ago' }, 'entry-2'),
        line(950, 'call refused', { queue: 'orders', reason: 'the call carries no API key' }),
        line(960, 'call refused', { queue: 'orders', job: 'bb', reason: 'the call carries no API key' })
      ],
      sentences: ['never accepted: the job did not run', '2 calls were refused by entry-1: the API key is not known', 'a call was refused by entry-2: the API keys were read too long ago', 'no end is logged']
    },
    {
      name: 'a job that was accepted after calls with another key',
      lines: [
        line(0, 'call refused', { queue: 'orders', job: 'aa', reason: 'the call carries no API key' }),
        line(500, 'job accepted', { job: 'aa', durationMilliseconds: 12 }),
        line(900, 'job finished', { job: 'aa', code: 'completed', durationMilliseconds: 400, objectiveMilliseconds: 900 })
      ],
      sentences: ['accepted by entry-1, stored in 12 ms', 'a call was refused by entry-1: the call carries no API key', 'completed after 400 ms, in time (objective 900 ms)']
    },
    {
      name: 'a job that waited while the log was unavailable',
      lines: [
        ACCEPTED,
        line(100, 'the log cannot be read', {}, 'entry-1'),
        line(110, 'the log cannot be read', {}, 'entry-2'),
        line(2000, 'the log can be read again', {}, 'entry-2'),
        line(2100, 'run ordered', STARTED, 'entry-2'),
        line(2600, 'run ended', { ...STARTED, code: 'done', durationMilliseconds: 500 }, 'entry-2'),
        line(2610, 'job finished', { job: 'aa', code: 'completed', durationMilliseconds: 2600, objectiveMilliseconds: 900 }, 'entry-2')
      ],
      sentences: [
        'accepted by entry-1, stored in 12 ms',
        "waited 2.100 s after 'job accepted' for 'run ordered'; meanwhile the log cannot be read (2), the log can be read again (entry-2)",
        'completed after 2600 ms, late (objective 900 ms)'
      ]
    },
    {
      name: 'a repeated run after an unconfirmed start',
      lines: [
        ACCEPTED,
        line(20, 'run ordered', STARTED),
        line(420, 'start was not confirmed', { ...STARTED, code: 'unknown', reason: 'timed out' }),
        line(900, 'run ended', { ...STARTED, code: 'stopped', durationMilliseconds: 880 }),
        line(950, 'run ordered', { ...STARTED, worker: 'w2', count: 2 }),
        line(1400, 'run ended', { ...STARTED, worker: 'w2', count: 2, code: 'done', durationMilliseconds: 450 }),
        line(1401, 'job finished', { job: 'aa', code: 'completed', durationMilliseconds: 1401, objectiveMilliseconds: 2000 })
      ],
      sentences: [
        'accepted by entry-1, stored in 12 ms',
        'run 1 of aa.0.0.0 ended stopped on w1',
        'the start of run 1 of aa.0.0.0 on w1 was not confirmed: unknown, timed out',
        'completed after 1401 ms, in time (objective 2000 ms)'
      ]
    },
    {
      name: 'a run that was preempted',
      lines: [
        ACCEPTED,
        line(20, 'run ordered', STARTED),
        line(300, 'run is preempted', { ...STARTED, code: 'priority', reason: 'by bb.0.0; 0 core-milliseconds are lost at 40 percent, with a checkpoint' }),
        line(500, 'run ended', { ...STARTED, code: 'stopped', durationMilliseconds: 480 }),
        line(900, 'run ordered', { ...STARTED, count: 2 }),
        line(1300, 'run ended', { ...STARTED, count: 2, code: 'done', durationMilliseconds: 400 }),
        line(1301, 'job finished', { job: 'aa', code: 'completed', durationMilliseconds: 1301, objectiveMilliseconds: 2000 })
      ],
      sentences: [
        'accepted by entry-1, stored in 12 ms',
        'run 1 of aa.0.0.0 ended stopped on w1',
        'run 1 of aa.0.0.0 on w1 was preempted by bb.0.0; 0 core-milliseconds are lost at 40 percent, with a checkpoint',
        'completed after 1301 ms, in time (objective 2000 ms)'
      ]
    },
    {
      name: 'a run that was lost because its worker crashed',
      lines: [
        ACCEPTED,
        line(20, 'run ordered', STARTED),
        line(300, 'worker does not answer', { worker: 'w1', reason: 'other side closed', count: 1 }),
        line(4400, 'nothing can run on a worker any more', { worker: 'w1', code: 'processReplaced', count: 1 }),
        line(4401, 'run is lost with its worker; its task waits again', { ...STARTED, code: 'processReplaced', reason: 'the run was running' }),
        line(4420, 'run ordered', { ...STARTED, worker: 'w2', count: 2 }),
        line(5400, 'run ended', { ...STARTED, worker: 'w2', count: 2, code: 'done', durationMilliseconds: 980 }),
        line(5401, 'job finished', { job: 'aa', code: 'completed', durationMilliseconds: 5401, objectiveMilliseconds: 2000 })
      ],
      sentences: [
        'accepted by entry-1, stored in 12 ms',
        'run 1 of aa.0.0.0 was lost with w1: processReplaced',
        'completed after 5401 ms, late (objective 2000 ms)'
      ]
    },
    {
      name: 'a run that was recorded but never started because its scheduler stopped',
      lines: [
        ACCEPTED,
        line(700, 'acting as scheduler', {}, 'entry-2'),
        line(710, 'run is not on its worker; its task waits again', { ...STARTED, reason: 'the run was uncertain' }, 'entry-2'),
        line(900, 'run ordered', { ...STARTED, count: 2 }, 'entry-2')
      ],
      sentences: [
        'accepted by entry-1, stored in 12 ms',
        "waited 0.900 s after 'job accepted' for 'run ordered'; meanwhile acting as scheduler (entry-2)",
        'run 1 of aa.0.0.0 was not on w1: the run was uncertain',
        'no end is logged'
      ]
    },
    {
      name: 'a job that waited for capacity',
      lines: [ACCEPTED, line(10, 'eligible workers are known', { task: 'aa.0.0' }), line(900, 'eligible workers are known', { task: 'aa.0.0' }), line(1500, 'run ordered', STARTED)],
      sentences: [
        'accepted by entry-1, stored in 12 ms',
        "waited 1.490 s after 'eligible workers are known' for 'run ordered'; no change of scheduler, log or its workers meanwhile, so it waited for its turn",
        'no end is logged'
      ]
    }
  ]
  for (const { name, lines, sentences } of CASES) {
    it(`explains ${name}`, () => {
      assert.deepEqual(explainHistory(parseLog(lines), 'aa'), sentences)
    })
  }

  it('returns undefined for a job without log lines', () => {
    assert.equal(explainHistory(parseLog([ACCEPTED]), 'bb'), undefined)
  })
})

describe('selectHistory', () => {
  it('selects lines about the job, and about its workers and the scheduler role during its lifetime', () => {
    const log = parseLog([
      line(-5, 'acting as scheduler'),
      `   12.5 entry-1 ${ACCEPTED}`,
      'no log line',
      line(10, 'run ordered', STARTED),
      line(11, 'run ordered', { task: 'aab.0.0.0', worker: 'w1', count: 1 }),
      line(20, 'worker does not answer', { worker: 'w2' }),
      line(30, 'worker does not answer', { worker: 'w1' }),
      line(40, 'no longer acting as scheduler'),
      line(50, 'run ended', { ...STARTED, code: 'lapsed' })
    ])
    assert.deepEqual(selectHistory(log, 'aa').map(({ message, worker }) => [message, worker]), [
      ['job accepted', undefined], ['run ordered', 'w1'], ['worker does not answer', 'w1'], ['no longer acting as scheduler', undefined], ['run ended', 'w1']
    ])
  })

  it('formats lines with the time since the first one', () => {
    const history = selectHistory(parseLog([ACCEPTED, line(1250, 'run ordered', STARTED)]), 'aa')
    assert.equal(formatHistory(history), '    0.000  entry-1  job accepted  job=aa durationMilliseconds=12\n    1.250  entry-1  run ordered  task=aa.0.0.0 worker=w1 count=1')
  })
})
