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

/** A line of the log of a process. */
export type LogLine = z.infer<typeof logLineSchema>

/** Parses the log lines of all processes and sorts them by wall-clock time; lines with the same time keep their order. Text before the opening brace and lines of other types are skipped. */
export function parseLog (lines: Iterable<string>): LogLine[] {
  const parsed: Array<{ readonly line: LogLine, readonly time: number }> = []
  for (const text of lines) {
    const start = text.indexOf('{"type":"log"')
    if (start < 0) continue
    const result = logLineSchema.safeParse(parseJsonLine(text.slice(start)))
    if (result.success) parsed.push({ line: result.data, time: Date.parse(result.data.time) })
  }
  return parsed.sort((left, right) => left.time - right.time).map(({ line }) => line)
}
