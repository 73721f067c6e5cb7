import { eventSchema, type SystemEvent } from '../contracts/events.js'
import { parseJsonLine } from './jsonLine.js'

/** Selects events to show. Absent fields match every event. */
export interface TimelineFilter {
  readonly job?: string
  readonly request?: string
  readonly worker?: string
  /** Process that recorded the event. */
  readonly instance?: string
  readonly kind?: string
  /** Earliest and latest wall-clock time as Unix time in milliseconds, both inclusive. */
  readonly sinceMilliseconds?: number
  readonly untilMilliseconds?: number
}

/** Parses JSON lines in their order and skips lines that are not events. */
export function parseEvents (lines: Iterable<string>): SystemEvent[] {
  const events: SystemEvent[] = []
  for (const line of lines) {
    if (!line.startsWith('{')) continue
    const event = eventSchema.safeParse(parseJsonLine(line))
    if (event.success) events.push(event.data)
  }
  return events
}

/** Merges the events of several processes into an order consistent with causality: by logical time, then by process. */
export function mergeEvents (events: readonly SystemEvent[]): SystemEvent[] {
  return [...events].sort((left, right) => left.logicalTime - right.logicalTime || compareStrings(left.process, right.process) || compareStrings(left.time, right.time))
}

/**
 * Checks that the logical times of events are consistent with causality. The events of each process must be in the order in
 * which it wrote them. Returns one line for each violation: a process whose logical time does not increase, or an effect whose
 * logical time is not after that of its cause in another process, because a message between the two did not carry it.
 */
export function checkCausalOrder (events: readonly SystemEvent[]): string[] {
  const violations: string[] = []
  const lastTimes = new Map<string, number>()
  for (const { process, incarnation, logicalTime, kind } of events) {
    const key = `${process} ${incarnation}`
    const previous = lastTimes.get(key) ?? 0
    if (logicalTime <= previous) violations.push(`${process}: ${kind} has logical time ${logicalTime} after ${previous}`)
    lastTimes.set(key, logicalTime)
  }
  for (const rule of CAUSALITY_RULES) violations.push(...findRuleViolations(events, rule))
  return violations
}

export function filterEvents (events: readonly SystemEvent[], filter: TimelineFilter): SystemEvent[] {
  return events.filter(event =>
    (filter.job === undefined || event.job === filter.job) &&
    (filter.request === undefined || event.request === filter.request) &&
    (filter.worker === undefined || event.worker === filter.worker) &&
    (filter.instance === undefined || event.process === filter.instance) &&
    (filter.kind === undefined || event.kind === filter.kind) &&
    (filter.sinceMilliseconds === undefined || Date.parse(event.time) >= filter.sinceMilliseconds) &&
    (filter.untilMilliseconds === undefined || Date.parse(event.time) <= filter.untilMilliseconds))
}

/** Formats events as text, one per line. */
export function formatTimeline (events: readonly SystemEvent[]): string {
  const width = Math.max(0, ...events.map(event => event.process.length))
  return events.map(event => `${String(event.logicalTime).padStart(8)}  ${event.time}  ${event.process.padEnd(width)}  ${event.kind.padEnd(22)}  ${describeFields(event)}`.trimEnd()).join('\n')
}

/** Renders events as a self-contained HTML page with a column for each process. */
export function renderTimelinePage (events: readonly SystemEvent[]): string {
  const processes = [...new Set(events.map(event => event.process))].sort(compareStrings)
  const head = processes.map(name => `<th>${escapeHtml(name)}</th>`).join('')
  const rows = events.map(event => {
    const cells = processes.map(name => name === event.process ? `<td title="${escapeHtml(event.time)}"><b>${escapeHtml(event.kind)}</b> ${escapeHtml(describeFields(event))}</td>` : '<td></td>').join('')
    return `<tr><td>${event.logicalTime}</td>${cells}</tr>`
  }).join('\n')
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<meta http-equiv="content-security-policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>Time line</title>
<style>body{font:13px system-ui}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 6px;vertical-align:top}th{position:sticky;top:0;background:#eee}</style>
<h1>Time line</h1>
<p>${events.length} events of ${processes.length} processes in causal order</p>
<table><tr><th>logical time</th>${head}</tr>
${rows}
</table>
</html>
`
}

interface CausalityRule {
  readonly cause: SystemEvent['kind']
  readonly effect: SystemEvent['kind']
  /** Field that has the same value in a cause and its effect. */
  readonly subjectField: 'request' | 'job' | 'task'
}

/** Pairs of events whose effect follows from the cause, mostly through a message. Every effect must come after the earliest cause with the same subject. */
const CAUSALITY_RULES: readonly CausalityRule[] = [
  { cause: 'requestAccepted', effect: 'requestDispatched', subjectField: 'request' },
  { cause: 'requestDispatched', effect: 'executorStarted', subjectField: 'request' },
  { cause: 'executorEnded', effect: 'requestAnswered', subjectField: 'request' },
  { cause: 'requestAnswered', effect: 'callerAnswered', subjectField: 'request' },
  { cause: 'jobSubmitted', effect: 'taskStarting', subjectField: 'job' },
  { cause: 'taskStarting', effect: 'taskStarted', subjectField: 'task' },
  { cause: 'taskEnded', effect: 'jobEnded', subjectField: 'job' }
]

function findRuleViolations (events: readonly SystemEvent[], { cause, effect, subjectField }: CausalityRule): string[] {
  const causes = new Map<string, SystemEvent>()
  for (const event of events) {
    const subject = event[subjectField]
    if (event.kind !== cause || subject === undefined) continue
    const earliest = causes.get(subject)
    if (earliest === undefined || event.logicalTime < earliest.logicalTime) causes.set(subject, event)
  }
  const violations: string[] = []
  for (const event of events) {
    const earliest = event[subjectField] === undefined || event.kind !== effect ? undefined : causes.get(event[subjectField])
    if (earliest === undefined || event.logicalTime > earliest.logicalTime) continue
    violations.push(`${subjectField} ${event[subjectField]}: ${effect} at ${event.process} has logical time ${event.logicalTime}, not after ${cause} at ${earliest.process} with ${earliest.logicalTime}`)
  }
  return violations
}

function describeFields (event: SystemEvent): string {
  const { type, kind, process, incarnation, logicalTime, time, ...fields } = event
  return Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')
}

function compareStrings (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}

function escapeHtml (text: string): string {
  return text.replace(/[&<>"']/g, character => `&#${character.charCodeAt(0)};`)
}
