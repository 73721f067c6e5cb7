import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ProgressWriter, type WriteOutcome } from '../../src/cluster/progressWriter.js'
import { RecordLog, type AppendOptions, type AppendOutcome, type KeyedRecord, type ReadOutcome, type SnapshotOutcome } from '../../src/cluster/recordLog.js'

const TERM = 3
const RECORDS: readonly KeyedRecord[] = [{ key: 'job', value: Buffer.from('progress') }]

/** Answers appends from a script and keeps the sequence numbers that it was sent. */
class ScriptedLog extends RecordLog {
  readonly sequences: number[] = []

  constructor (private readonly answers: AppendOutcome[]) {
    super()
  }

  override async append (_topic: string, _partition: number, _records: readonly KeyedRecord[], options: AppendOptions = {}): Promise<AppendOutcome> {
    this.sequences.push(options.writer?.sequence ?? -1)
    return this.answers.shift() ?? { kind: 'stored', end: 1 }
  }

  override async read (): Promise<ReadOutcome> {
    return { kind: 'unavailable', reason: 'not scripted' }
  }

  override async snapshot (): Promise<SnapshotOutcome> {
    return { kind: 'unavailable', reason: 'not scripted' }
  }
}

describe('ProgressWriter', () => {
  /** Outcome of a write after a fence with number 0, by the answer of the log, and the numbers that were sent. */
  const CASES: ReadonlyArray<{ readonly name: string, readonly answers: AppendOutcome[], readonly outcome: WriteOutcome, readonly sequences: readonly number[] }> = [
    { name: 'stores', answers: [], outcome: 'stored', sequences: [1] },
    { name: 'is shut out by a greater term', answers: [{ kind: 'fenced' }], outcome: 'fenced', sequences: [1] },
    { name: 'has been stored by an earlier copy', answers: [{ kind: 'outOfSequence', expected: 2 }], outcome: 'stored', sequences: [1] },
    { name: 'does not take the answer to an earlier number for its own', answers: [{ kind: 'outOfSequence', expected: 0 }], outcome: 'behind', sequences: [1] }
  ]
  for (const { name, answers, outcome, sequences } of CASES) {
    it(name, async () => {
      const log = new ScriptedLog([{ kind: 'stored', end: 0 }, ...answers])
      const writer = new ProgressWriter(log, TERM, () => {}, () => 0)
      await writer.fence()
      log.sequences.length = 0
      assert.equal(await writer.write(RECORDS), outcome)
      assert.deepEqual(log.sequences, sequences)
      writer.dispose()
    })
  }

  /** The log has seen another writer of this term: repeats would be answered with the outcome of that one's appends. */
  it('is shut out by another writer of its term', async () => {
    const log = new ScriptedLog([{ kind: 'outOfSequence', expected: 7 }])
    const writer = new ProgressWriter(log, TERM, () => {}, () => 0)
    assert.equal(await writer.fence(), 'fenced')
    assert.deepEqual(log.sequences, [0])
    writer.dispose()
  })
})
