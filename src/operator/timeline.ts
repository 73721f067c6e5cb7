import { eventSchema, type SystemEvent } from '../contracts/events.js'
import { parseJsonLine } from './jsonLine.js'

/** Which events to show; absent fields match everything. */
export interface TimelineFilter {
  readonly job?: string
  readonly request?: string
  readonly worker?: string
  /** Process that recorded the event. */
  readonly instance?: string
  readonly kind?: string
  /** Earliest and latest wall-clock time, in milliseconds since 1970; both inclusive. */
  readonly sinceMilliseconds?: number
  readonly untilMilliseconds?: number
}

/** Parses JSON lines; lines that are not events are skipped. The order of the lines is kept. */
export function parseEvents (lines: Iterable<string>): SystemEvent[] {
  const events: SystemEvent[] = []
  for (const line of lines) {
    if (!line.startsWith('{')) continue
    const event = eventSchema.safeParse(parseJsonLine(line))
    if (event.success) events.push(event.data)
  }
  return events
}

/** Orders events of several processes consistently with causality: by logical time, ties by process. */
export function mergeEvents (events: readonly SystemEvent[]): SystemEvent[] {
  return [...events].sort((left, right) => left.logicalTime - right.logicalTime || compareTexts(left.process, right.process) || compareTexts(left.time, right.time))
}

/**
 * Checks the logical times, of events in the order in which each process wrote them. Returns one line for each fault:
 * a process whose logical time does not grow, or an effect that does not come after its cause in another process,
 * which means that a message between them did not carry the logical time.
 */
export function checkCausalOrder (events: readonly SystemEvent[]): string[] {
  const faults: string[] = []
  const last = new Map<string, number>()
  for (const { process, incarnation, logicalTime, kind } of events) {
    const key = `${process} ${incarnation}`
    const before = last.get(key) ?? 0
    if (logicalTime <= before) faults.push(`${process}: ${kind} has logical time ${logicalTime} after ${before}`)
    last.set(key, logicalTime)
  }
  for (const rule of CAUSES) faults.push(...checkRule(events, rule))
  return faults
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

/** Renders events as text, one a line. */
export function formatTimeline (events: readonly SystemEvent[]): string {
  const width = Math.max(0, ...events.map(event => event.process.length))
  return events.map(event => `${String(event.logicalTime).padStart(8)}  ${event.time}  ${event.process.padEnd(width)}  ${event.kind.padEnd(22)}  ${describeFields(event)}`.trimEnd()).join('\n')
}

/** Renders events as an HTML page with a column for each process. The page loads nothing else. */
export function renderTimelinePage (events: readonly SystemEvent[]): string {
  const processes = [...new Set(events.map(event => event.process))].sort(compareTexts)
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

interface CauseRule {
  readonly cause: SystemEvent['kind']
  readonly effect: SystemEvent['kind']
  /** Field that relates a cause to its effect. */
  readonly by: 'request' | 'job' | 'task'
}

/** Pairs whose effect follows from a message that the cause's process has sent. The first effect must come after the first cause. */
const CAUSES: readonly CauseRule[] = [
  { cause: 'requestAccepted', effect: 'requestDispatched', by: 'request' },
  { cause: 'requestDispatched', effect: 'executorStarted', by: 'request' },
  { cause: 'executorEnded', effect: 'requestAnswered', by: 'request' },
  { cause: 'requestAnswered', effect: 'callerAnswered', by: 'request' },
  { cause: 'jobSubmitted', effect: 'taskStarting', by: 'job' },
  { cause: 'taskStarting', effect: 'taskStarted', by: 'task' },
  { cause: 'taskEnded', effect: 'jobEnded', by: 'job' }
]

function checkRule (events: readonly SystemEvent[], { cause, effect, by }: CauseRule): string[] {
  const causes = new Map<string, SystemEvent>()
  for (const event of events) {
    const subject = event[by]
    if (event.kind !== cause || subject === undefined) continue
    const known = causes.get(subject)
    if (known === undefined || event.logicalTime < known.logicalTime) causes.set(subject, event)
  }
  const faults: string[] = []
  for (const event of events) {
    const before = event[by] === undefined || event.kind !== effect ? undefined : causes.get(event[by])
    if (before === undefined || event.logicalTime > before.logicalTime) continue
    faults.push(`${by} ${event[by]}: ${effect} at ${event.process} has logical time ${event.logicalTime}, not after ${cause} at ${before.process} with ${before.logicalTime}`)
  }
  return faults
}

function describeFields (event: SystemEvent): string {
  const { type, kind, process, incarnation, logicalTime, time, ...fields } = event
  return Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')
}

function compareTexts (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}

function escapeHtml (text: string): string {
  return text.replace(/[&<>"']/g, character => `&#${character.charCodeAt(0)};`)
}
