import type { LogLine } from './logLine.js'
import { explainService } from './serviceHistory.js'

/** Waits between two steps of a job are reported from this duration on; shorter ones are usual. */
const LONG_WAIT_MILLISECONDS = 500
/** A run is reported as long if it takes more than this multiple of the median of its job's runs. */
const LONG_RUN_FACTOR = 2

/** Messages about the scheduler role and the log, which explain why a job waited. */
const CONTEXT_MESSAGES: ReadonlySet<string> = new Set([
  'acting as scheduler',
  'no longer acting as scheduler',
  'the role of scheduler cannot be renewed; another instance is asked to claim it',
  'progress could not be recorded; the append is repeated',
  'submissions could not be stored',
  'the log cannot be read',
  'the log can be read again',
  'submissions cannot be read',
  'submissions can be read again'
])
const ELIGIBILITY_MESSAGE = 'eligible workers are known'
const LOST_RUN_MESSAGE = 'run is lost with its worker; its task waits again'
const ORGANISATION_WAIT_MESSAGE = 'step waits for its organisation'
/** Messages that mark the steps in the life cycle of a job. */
const STEP_MESSAGES: ReadonlySet<string> = new Set(['job accepted', ELIGIBILITY_MESSAGE, 'run ordered', 'run ended', LOST_RUN_MESSAGE, 'job finished'])
/** Messages about a worker, which explain the outcome of its runs. */
const WORKER_MESSAGES: ReadonlySet<string> = new Set([
  'worker does not answer',
  'worker answers again',
  'nothing can run on a worker any more',
  'worker runs a new process',
  'capacity of a worker changed',
  'worker no longer listed',
  'worker gets no work for a while; its runs have failed in a row'
])

/** Selects the lines about a job and its tasks, and the changes of the scheduler, the log and the job's workers during its lifetime. */
export function selectHistory (log: readonly LogLine[], job: string): LogLine[] {
  const jobLines = log.filter(line => isAboutJob(line, job))
  const first = jobLines[0]
  const last = jobLines.at(-1)
  if (first === undefined || last === undefined) return []
  const from = Date.parse(first.time)
  const until = Date.parse(last.time)
  const workers = new Set(jobLines.flatMap(line => line.worker ?? []))
  return log.filter(line => {
    if (isAboutJob(line, job)) return true
    const time = Date.parse(line.time)
    if (time < from || time > until) return false
    return CONTEXT_MESSAGES.has(line.message) || (line.worker !== undefined && workers.has(line.worker) && WORKER_MESSAGES.has(line.message))
  })
}

/** Explains the outcome of a job and its delays in a few sentences. Returns undefined if no line is about the job. */
export function explainHistory (log: readonly LogLine[], job: string): string[] | undefined {
  const history = selectHistory(log, job)
  if (history.length === 0) return undefined
  const sentences = [...explainAcceptance(history), ...explainRefusedCalls(history), ...explainWaits(history, job), ...explainRuns(history), ...explainService(history.filter(line => isAboutJob(line, job)), log), ...explainEnd(history)]
  return sentences.length > 0 ? sentences : ['the log has lines about the job, but none of its decisions']
}

/** Formats lines as text, with the time since the first one in seconds. */
export function formatHistory (history: readonly LogLine[]): string {
  const start = Date.parse(history[0]?.time ?? '')
  const width = Math.max(0, ...history.map(line => line.process.length))
  return history.map(line => `${formatSeconds(Date.parse(line.time) - start).padStart(9)}  ${line.process.padEnd(width)}  ${line.message}  ${describeFields(line)}`.trimEnd()).join('\n')
}

function explainAcceptance (history: readonly LogLine[]): string[] {
  const sentences: string[] = []
  for (const line of history) {
    if (line.message === 'job refused') sentences.push(`refused by ${line.process}: ${line.reason}; nothing was stored`)
    if (line.message === 'job of unknown acceptance') sentences.push(`${line.process} could not find out whether the job was stored`)
    if (line.message === 'job accepted') sentences.push(`accepted by ${line.process}, stored in ${line.durationMilliseconds} ms`)
  }
  const isAccepted = history.some(line => line.message === 'job accepted' || line.message === 'run ordered')
  return isAccepted ? sentences : [...sentences, 'never accepted: the job did not run']
}

/** Reports the calls about a job that were refused for their API key, grouped by instance and reason: a caller may ask for a state often. */
function explainRefusedCalls (history: readonly LogLine[]): string[] {
  const counts = new Map<string, number>()
  for (const { message, process, reason } of history) {
    if (message !== 'call refused') continue
    const refusal = `refused by ${process}: ${reason ?? 'no reason is logged'}`
    counts.set(refusal, (counts.get(refusal) ?? 0) + 1)
  }
  return [...counts].map(([refusal, count]) => `${count === 1 ? 'a call was' : `${count} calls were`} ${refusal}`)
}

/** Reports long waits between the steps of a job during which none of its tasks ran, and the concurrent changes. */
function explainWaits (history: readonly LogLine[], job: string): string[] {
  const sentences: string[] = []
  const contextLines = history.filter(line => !isAboutJob(line, job))
  let previous: LogLine | undefined
  let running = 0
  for (const line of history) {
    // A repeated eligibility query of a waiting job is not a step.
    if (!isAboutJob(line, job) || !STEP_MESSAGES.has(line.message) || (line.message === ELIGIBILITY_MESSAGE && previous?.message === ELIGIBILITY_MESSAGE)) continue
    const waited = previous === undefined ? 0 : Date.parse(line.time) - Date.parse(previous.time)
    if (previous !== undefined && running === 0 && waited >= LONG_WAIT_MILLISECONDS) {
      sentences.push(`waited ${formatSeconds(waited)} s after '${previous.message}' for '${line.message}'; ${describeConcurrentChanges(contextLines, previous, line)}`)
    }
    if (line.message === 'run ordered') running += 1
    if (line.message === 'run ended' || line.message === LOST_RUN_MESSAGE) running = Math.max(0, running - 1)
    previous = line
  }
  return sentences
}

/** Describes the changes between two lines, grouped by message. */
function describeConcurrentChanges (contextLines: readonly LogLine[], from: LogLine, to: LogLine): string {
  const subjects = new Map<string, Set<string>>()
  for (const { time, message, worker, process } of contextLines) {
    if (Date.parse(time) < Date.parse(from.time) || Date.parse(time) > Date.parse(to.time)) continue
    subjects.set(message, (subjects.get(message) ?? new Set()).add(worker ?? process))
  }
  if (subjects.size === 0) return 'no change of scheduler, log or its workers meanwhile, so it waited for its turn'
  return `meanwhile ${[...subjects].map(([message, names]) => `${message} (${names.size === 1 ? [...names].join() : names.size})`).join(', ')}`
}

function explainRuns (history: readonly LogLine[]): string[] {
  const sentences: string[] = []
  const ends = history.filter(line => line.message === 'run ended')
  const durations = ends.map(line => line.durationMilliseconds ?? 0).sort((left, right) => left - right)
  const median = durations[Math.floor(durations.length / 2)] ?? 0
  for (const line of ends) {
    if (line.code !== 'done') sentences.push(`run ${line.count} of ${line.task} ended ${line.code} on ${line.worker}`)
    else if (durations.length > 2 && (line.durationMilliseconds ?? 0) > LONG_RUN_FACTOR * median) sentences.push(`run ${line.count} of ${line.task} took ${line.durationMilliseconds} ms on ${line.worker}, others ${median} ms`)
  }
  for (const line of history) {
    if (line.message === 'start was not confirmed') sentences.push(`the start of run ${line.count} of ${line.task} on ${line.worker} was not confirmed: ${line.code}${line.reason === undefined ? '' : `, ${line.reason}`}`)
    if (line.message === 'run is not on its worker; its task waits again') sentences.push(`run ${line.count} of ${line.task} was not on ${line.worker}: ${line.reason}`)
    if (line.message === LOST_RUN_MESSAGE) sentences.push(`run ${line.count} of ${line.task} was lost with ${line.worker}: ${line.code}`)
    if (line.message === 'run is preempted') sentences.push(`run ${line.count} of ${line.task} on ${line.worker} was preempted ${line.reason}${line.code === 'share' ? '; its organisation was above its share' : ''}`)
    if (line.message === ORGANISATION_WAIT_MESSAGE) sentences.push(`${line.task} ${line.reason}`)
    if (line.message === 'run makes no progress; it is stopped') sentences.push(`run ${line.count} of ${line.task} on ${line.worker} made no progress and was stopped`)
  }
  return sentences
}

function explainEnd (history: readonly LogLine[]): string[] {
  const end = history.findLast(line => line.message === 'job finished')
  if (end === undefined) return ['no end is logged']
  const { durationMilliseconds = 0, objectiveMilliseconds = 0 } = end
  const objective = objectiveMilliseconds <= 0 ? '' : durationMilliseconds <= objectiveMilliseconds ? `, in time (objective ${objectiveMilliseconds} ms)` : `, late (objective ${objectiveMilliseconds} ms)`
  return [`${end.code} after ${durationMilliseconds} ms${objective}${end.reason === undefined ? '' : `: ${end.reason}`}`]
}

function isAboutJob (line: LogLine, job: string): boolean {
  return line.job === job || line.task === job || line.task?.startsWith(`${job}.`) === true
}

function describeFields (line: LogLine): string {
  const { type, time, level, process, message, ...fields } = line
  return Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(' ')
}

function formatSeconds (milliseconds: number): string {
  return (milliseconds / 1000).toFixed(3)
}
