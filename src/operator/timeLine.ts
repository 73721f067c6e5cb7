import { eventSchema, type SystemEvent } from '../contracts/events.js'

/** Which events to show; absent fields match everything. */
export interface TimeLineFilter {
  readonly job?: string
  readonly request?: string
  readonly worker?: string
  readonly instance?: string
}

/** Parses JSON lines; lines that are not events are skipped. */
export function parseEvents (lines: Iterable<string>): SystemEvent[] {
  const events: SystemEvent[] = []
  for (const line of lines) {
    if (!line.startsWith('{')) continue
    const event = eventSchema.safeParse(parseLine(line))
    if (event.success) events.push(event.data)
  }
  return events
}

/** Orders events of several processes consistently with causality, by logical time. */
export function mergeEvents (events: readonly SystemEvent[]): SystemEvent[] {
  return [...events].sort((left, right) => left.logicalTime - right.logicalTime || left.time.localeCompare(right.time) || left.process.localeCompare(right.process))
}

export function filterEvents (events: readonly SystemEvent[], filter: TimeLineFilter): SystemEvent[] {
  return events.filter(event =>
    (filter.job === undefined || event.job === filter.job) &&
    (filter.request === undefined || event.request === filter.request) &&
    (filter.worker === undefined || event.worker === filter.worker) &&
    (filter.instance === undefined || event.process === filter.instance))
}

/** Renders events as text, one a line. */
export function formatTimeLine (events: readonly SystemEvent[]): string {
  return events.map(event => `${String(event.logicalTime).padStart(8)}  ${event.time}  ${event.process.padEnd(16)}  ${event.kind.padEnd(22)}  ${describeFields(event)}`).join('\n')
}

/** Renders events as a self-contained HTML page with a column for each process. */
export function renderTimeLinePage (events: readonly SystemEvent[]): string {
  const processes = [...new Set(events.map(event => event.process))]
  const head = processes.map(name => `<th>${escapeHtml(name)}</th>`).join('')
  const rows = events.map(event => {
    const cells = processes.map(name => name === event.process ? `<td title="${escapeHtml(event.time)}"><b>${event.kind}</b> ${escapeHtml(describeFields(event))}</td>` : '<td></td>').join('')
    return `<tr><td>${event.logicalTime}</td>${cells}</tr>`
  }).join('\n')
  return `<!doctype html>
<meta charset="utf-8">
<title>Time line</title>
<style>body{font:13px system-ui}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 6px;vertical-align:top}th{position:sticky;top:0;background:#eee}</style>
<h1>Time line</h1>
<table><tr><th>logical time</th>${head}</tr>
${rows}
</table>
`
}

function describeFields (event: SystemEvent): string {
  const { type, kind, process, incarnation, logicalTime, time, ...fields } = event
  return Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')
}

function parseLine (line: string): unknown {
  try {
    return JSON.parse(line)
  } catch {
    return undefined
  }
}

function escapeHtml (text: string): string {
  return text.replace(/[&<>"]/g, character => `&#${character.charCodeAt(0)};`)
}
