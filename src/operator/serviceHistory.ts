import type { LogLine } from './logLine.js'

const ENTER_MESSAGE = 'task is in service'
const END_MESSAGES: ReadonlySet<string> = new Set(['run ended', 'run is not on its worker; its task waits again'])
const OVER_MESSAGE = 'task is over its latency target'
const WITHIN_MESSAGE = 'task is within its latency target again'
const PACE_MESSAGE = 'pace of a run changed'
/** Times out of service, or over the target, are reported from this duration on; shorter ones are usual. */
const REPORTED_MILLISECONDS = 500

/** Explains when each long-running task of a job was in service, out of service, over its target or slowed down, and why. `history` holds the lines about the job, `log` all lines. */
export function explainService (history: readonly LogLine[], log: readonly LogLine[]): string[] {
  const tasks = new Set(history.filter(({ message }) => message === ENTER_MESSAGE).flatMap(({ task }) => task ?? []))
  const endedAt = timeOf(history.at(-1))
  return [...tasks].sort().flatMap(task => {
    const ofTask = history.filter(line => line.task === task)
    return [...explainPresence(task, ofTask, endedAt), ...explainTargets(task, ofTask, log, endedAt)]
  })
}

function explainPresence (task: string, lines: readonly LogLine[], endedAt: number): string[] {
  const sentences: string[] = []
  let enteredAt: number | undefined
  let inService = 0
  let lastEnd: LogLine | undefined
  for (const line of lines) {
    if (line.message === ENTER_MESSAGE) {
      if (enteredAt === undefined && lastEnd !== undefined && timeOf(line) - timeOf(lastEnd) >= REPORTED_MILLISECONDS) {
        sentences.push(`${task} was out of service for ${formatSeconds(timeOf(line) - timeOf(lastEnd))} s ${describeEnd(lastEnd, lines)}`)
      }
      enteredAt ??= timeOf(line)
    } else if (END_MESSAGES.has(line.message)) {
      if (enteredAt !== undefined) inService += timeOf(line) - enteredAt
      enteredAt = undefined
      lastEnd = line
    }
  }
  if (enteredAt !== undefined) inService += endedAt - enteredAt
  const total = endedAt - timeOf(lines.find(({ message }) => message === 'run ordered') ?? lines[0])
  return [`${task} was in service for ${formatSeconds(inService)} of ${formatSeconds(total)} s`, ...sentences]
}

function describeEnd (end: LogLine, lines: readonly LogLine[]): string {
  const move = lines.findLast(line => line.message.startsWith('run is stopped to be moved') && line.count === end.count)
  if (move !== undefined) return `after run ${end.count} was moved away from ${end.worker}: ${move.reason}`
  return `after run ${end.count} ended ${end.code ?? 'unnoticed'} on ${end.worker}`
}

/** Reports the times over the target, and the filler work that was slowed down meanwhile because of the task. */
function explainTargets (task: string, lines: readonly LogLine[], log: readonly LogLine[], endedAt: number): string[] {
  const sentences: string[] = []
  let over: LogLine | undefined
  for (const line of [...lines, undefined]) {
    if (line?.message === OVER_MESSAGE) over ??= line
    const isEnd = line === undefined || line.message === WITHIN_MESSAGE || END_MESSAGES.has(line.message)
    if (over === undefined || !isEnd) continue
    const until = line === undefined ? endedAt : timeOf(line)
    if (until - timeOf(over) >= REPORTED_MILLISECONDS) sentences.push(`${task} was over its target for ${formatSeconds(until - timeOf(over))} s on ${over.worker}; ${describePaces(task, log, timeOf(over), until)}`)
    over = undefined
  }
  return sentences
}

function describePaces (task: string, log: readonly LogLine[], from: number, until: number): string {
  const paces = log.filter(line => line.message === PACE_MESSAGE && line.reason?.includes(task) === true && timeOf(line) >= from && timeOf(line) <= until)
  if (paces.length === 0) return 'no filler work beside it was slowed down, so that its own load was the cause'
  return `slowed down beside it: ${paces.map(line => `${line.task} to ${line.code}`).join(', ')}`
}

function timeOf (line: LogLine | undefined): number {
  return line === undefined ? 0 : Date.parse(line.time)
}

function formatSeconds (milliseconds: number): string {
  return (milliseconds / 1000).toFixed(3)
}
