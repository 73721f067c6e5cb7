import { decodeSubmission } from '../../contracts/clusterRecords.js'
import type { StoredRecord } from '../recordLog.js'

/** Records that were read from one partition of the submissions topic. */
interface RecordBatch {
  readonly partition: number
  readonly records: readonly StoredRecord[]
}

/**
 * Returns, as batches of one record each, the submissions that keep the identities which several organisations have used: those that
 * were accepted first. Partitions are read in any order, so that without this choice each scheduler might run another submission.
 */
export function findEarliestClaims<Batch extends RecordBatch> (batches: readonly Batch[]): Batch[] {
  const copies = new Map<string, Array<{ readonly batch: Batch, readonly record: StoredRecord }>>()
  for (const batch of batches) {
    for (const record of batch.records) {
      const others = copies.get(record.key)
      if (others === undefined) copies.set(record.key, [{ batch, record }])
      else others.push({ batch, record })
    }
  }
  const winners: Batch[] = []
  for (const records of copies.values()) {
    if (records.length === 1) continue
    const claims = records.flatMap(({ batch, record }) => {
      const submission = record.value === undefined ? undefined : decodeSubmission(record.value)
      return submission === undefined ? [] : [{ batch, record, submission }]
    })
    if (new Set(claims.map(({ submission }) => submission.organisation)).size < 2) continue
    const [first] = claims.sort((left, right) => left.submission.acceptedAt - right.submission.acceptedAt || (left.submission.organisation ?? '').localeCompare(right.submission.organisation ?? ''))
    if (first !== undefined) winners.push({ ...first.batch, records: [first.record] })
  }
  return winners
}
