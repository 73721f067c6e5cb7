/** Parses a line of JSON. Returns undefined for an invalid line, such as one truncated when its process terminated. */
export function parseJsonLine (line: string): unknown {
  try {
    return JSON.parse(line)
  } catch {
    return undefined
  }
}
