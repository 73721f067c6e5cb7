import { z } from 'zod'
import { parseJsonLine } from './jsonLine.js'

const logLineSchema = z.looseObject({
  type: z.literal('log'),
  time: z.iso.datetime(),
  level: z.string(),
  process: z.string(),
  message: z.string(),
  job: z.string().optional(),
  task: z.string().optional(),
  worker: z.string().optional(),
  count: z.number().optional(),
  code: z.string().optional(),
  reason: z.string().optional(),
  durationMilliseconds: z.number().optional(),
  objectiveMilliseconds: z.number().optional()
})

/** One line of a process's log. */
export type LogLine = z.infer<typeof logLineSchema>

/** Waits from one step of a job to the next that are named, in milliseconds; shorter ones are usual. */
const LONG_WAIT_MILLISECONDS = 500
/** A run that goes on for this many times the median of its job's runs is named. */
const LONG_RUN_FACTOR = 2

/** Messages about the role of scheduler and the log, which explain why a job waited. */
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
/** Messages that mark the steps of a job's life. */
const QUESTION_MESSAGE = 'eligible workers are known'
const STEP_MESSAGES: ReadonlySet<string> = new Set(['job accepted', QUESTION_MESSAGE, 'run ordered', 'run ended', 'job finished'])
/** Messages about a worker, which explain what became of its runs. */
const WORKER_MESSAGES: ReadonlySet<string> = new Set([
  'worker does not answer',
  'worker answers again',
  'nothing can run on a worker any more',
  'worker no longer listed',
  'worker gets no work for a while; its runs have failed in a row'
])

/** Parses the log lines of all processes; text before the opening brace is skipped, as are lines that are no log lines. Sorted by time of day; lines of one time keep their order. */
export function parseLog (lines: Iterable<string>): LogLine[] {
  const found: Array<{ readonly line: LogLine, readonly time: number }> = []
  for (const text of lines) {
    const start = text.indexOf('{"type":"log"')
    if (start < 0) continue
    const line = logLineSchema.safeParse(parseJsonLine(text.slice(start)))
    if (line.success) found.push({ line: line.data, time: Date.parse(line.data.time) })
  }
  return found.sort((left, right) => left.time - right.time).map(({ line }) => line)
}

/** Lines about a job and its tasks, with the changes of scheduler, log and workers during its life that concern it. */
export function selectHistory (log: readonly LogLine[], job: string): LogLine[] {
  const own = log.filter(line => concerns(line, job))
  const first = own[0]
  const last = own.at(-1)
  if (first === undefined || last === undefined) return []
  const from = Date.parse(first.time)
  const until = Date.parse(last.time)
  const workers = new Set(own.flatMap(line => line.worker ?? []))
  return log.filter(line => {
    if (concerns(line, job)) return true
    const time = Date.parse(line.time)
    if (time < from || time > until) return false
    return CONTEXT_MESSAGES.has(line.message) || (line.worker !== undefined && workers.has(line.worker) && WORKER_MESSAGES.has(line.message))
  })
}

/** Says in a few sentences what became of a job and where its time went. Undefined if no line is about it. */
export function explainHistory (log: readonly LogLine[], job: string): string[] | undefined {
  const history = selectHistory(log, job)
  if (history.length === 0) return undefined
  const sentences = [...explainAcceptance(history), ...explainWaits(history, job), ...explainRuns(history), ...explainEnd(history)]
  return sentences.length > 0 ? sentences : ['the log has lines about the job, but none of its decisions']
}

/** Renders lines as text, with the time since the first one in seconds. */
export function formatHistory (history: readonly LogLine[]): string {
  const start = Date.parse(history[0]?.time ?? '')
  const width = Math.max(0, ...history.map(line => line.process.length))
  return history.map(line => `${seconds(Date.parse(line.time) - start).padStart(9)}  ${line.process.padEnd(width)}  ${line.message}  ${describeFields(line)}`.trimEnd()).join('\n')
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

/** Names the long waits between the steps of a job while nothing of it ran, and what else happened during them. */
function explainWaits (history: readonly LogLine[], job: string): string[] {
  const sentences: string[] = []
  const others = history.filter(line => !concerns(line, job))
  let previous: LogLine | undefined
  let running = 0
  for (const line of history) {
    // A question that is asked again while the job waits is no step.
    if (!concerns(line, job) || !STEP_MESSAGES.has(line.message) || (line.message === QUESTION_MESSAGE && previous?.message === QUESTION_MESSAGE)) continue
    const waited = previous === undefined ? 0 : Date.parse(line.time) - Date.parse(previous.time)
    if (previous !== undefined && running === 0 && waited >= LONG_WAIT_MILLISECONDS) {
      sentences.push(`waited ${seconds(waited)} s after '${previous.message}' for '${line.message}'; ${describeMeanwhile(others, previous, line)}`)
    }
    if (line.message === 'run ordered') running += 1
    if (line.message === 'run ended') running = Math.max(0, running - 1)
    previous = line
  }
  return sentences
}

/** Groups what happened between two lines by message. */
function describeMeanwhile (others: readonly LogLine[], from: LogLine, to: LogLine): string {
  const subjects = new Map<string, Set<string>>()
  for (const { time, message, worker, process } of others) {
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

function concerns (line: LogLine, job: string): boolean {
  return line.job === job || line.task === job || line.task?.startsWith(`${job}.`) === true
}

function describeFields (line: LogLine): string {
  const { type, time, level, process, message, ...fields } = line
  return Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(' ')
}

function seconds (milliseconds: number): string {
  return (milliseconds / 1000).toFixed(3)
}
