import { delay } from '../base/delay.js'
import type { Logger } from '../base/logger.js'
import { decodeProgress, type ProgressRecord } from '../contracts/clusterRecords.js'
import { TOPICS, type RecordLog } from './recordLog.js'

/** Delay before the progress is read again after a failure, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100

/** Progress of all jobs in the log. */
export interface StoredProgress {
  readonly records: ReadonlyMap<string, ProgressRecord>
  /** Jobs whose progress is malformed. */
  readonly unreadableJobs: ReadonlySet<string>
}

/** Reads all progress from the log, and repeats a failed read until the signal is aborted; complete only once the writers of former terms are fenced. */
export async function readProgress (log: RecordLog, term: number, logger: Logger, signal: AbortSignal): Promise<StoredProgress> {
  const records = new Map<string, ProgressRecord>()
  const unreadableJobs = new Set<string>()
  while (!signal.aborted) {
    const outcome = await log.snapshot(TOPICS.progress, 0)
    if (outcome.kind === 'snapshot') {
      for (const record of outcome.records) {
        if (record.value === undefined) continue
        const progress = decodeProgress(record.value)
        if (progress !== undefined) {
          records.set(record.key, progress)
          continue
        }
        unreadableJobs.add(record.key)
        logger.error('malformed progress; its job is left alone', { term, job: record.key, offset: record.offset })
      }
      logger.info('progress of former schedulers was read', { term, offset: outcome.end, count: records.size })
      break
    }
    logger.warn('progress cannot be read', { term, reason: outcome.reason })
    await delay(RETRY_DELAY_MILLISECONDS, signal)
  }
  return { records, unreadableJobs }
}
