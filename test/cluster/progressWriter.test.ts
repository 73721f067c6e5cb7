import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ProgressWriter, type WriteOutcome } from '../../src/cluster/progressWriter.js'
import { RecordLog, type AppendOptions, type AppendOutcome, type KeyedRecord, type ReadOutcome, type SnapshotOutcome } from '../../src/cluster/recordLog.js'

const TERM = 3
const RECORDS: readonly KeyedRecord[] = [{ key: 'job', value: Buffer.from('progress') }]

/** Returns scripted outcomes of appends and records the sequence numbers it receives. */
class ScriptedLog extends RecordLog {
  readonly sequences: number[] = []

  constructor (private readonly outcomes: AppendOutcome[]) {
    super()
  }

  override async append (_topic: string, _partition: number, _records: readonly KeyedRecord[], options: AppendOptions = {}): Promise<AppendOutcome> {
    this.sequences.push(options.writer?.sequence ?? -1)
    return this.outcomes.shift() ?? { kind: 'stored', end: 1 }
  }

  override async read (): Promise<ReadOutcome> {
    return { kind: 'unavailable', reason: 'not scripted' }
  }

  override async snapshot (): Promise<SnapshotOutcome> {
    return { kind: 'unavailable', reason: 'not scripted' }
  }
}

describe('ProgressWriter', () => {
  /** Outcome of a write after a fence with sequence number 0, depending on the responses of the log, and the sequence numbers sent. */
  const CASES: ReadonlyArray<{ readonly name: string, readonly responses: AppendOutcome[], readonly outcome: WriteOutcome, readonly sequences: readonly number[] }> = [
    { name: 'stores', responses: [], outcome: 'stored', sequences: [1] },
    { name: 'is fenced by a greater term', responses: [{ kind: 'fenced' }], outcome: 'fenced', sequences: [1] },
    { name: 'has been stored by an earlier copy', responses: [{ kind: 'outOfSequence', expected: 2 }], outcome: 'stored', sequences: [1] },
    { name: 'does not mistake the response to an earlier sequence number for its own', responses: [{ kind: 'outOfSequence', expected: 0 }], outcome: 'behind', sequences: [1] }
  ]
  for (const { name, responses, outcome, sequences } of CASES) {
    it(name, async () => {
      const log = new ScriptedLog([{ kind: 'stored', end: 0 }, ...responses])
      const writer = new ProgressWriter(log, TERM, () => {}, () => 0)
      await writer.fence()
      log.sequences.length = 0
      assert.equal(await writer.write(RECORDS), outcome)
      assert.deepEqual(log.sequences, sequences)
      writer.dispose()
    })
  }

  /** The log has received appends of another writer with this term, so repeated appends would return the outcomes of that writer's appends. */
  it('is fenced by another writer of its term', async () => {
    const log = new ScriptedLog([{ kind: 'outOfSequence', expected: 7 }])
    const writer = new ProgressWriter(log, TERM, () => {}, () => 0)
    assert.equal(await writer.fence(), 'fenced')
    assert.deepEqual(log.sequences, [0])
    writer.dispose()
  })
})
