/** The value of a line of JSON; undefined for one that cannot be parsed, such as one cut short by the end of a process. */
export function parseJsonLine (line: string): unknown {
  try {
    return JSON.parse(line)
  } catch {
    return undefined
  }
}
