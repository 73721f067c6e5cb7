/** Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/** Names of the headers in requests of callers and in the responses to them. */
export const CALLER_HEADERS = {
  idempotencyKey: 'idempotency-key',
  urgency: 'vanillaturn-urgency',
  deadlineMilliseconds: 'vanillaturn-deadline-milliseconds',
  request: 'vanillaturn-request',
  logicalTime: 'vanillaturn-logical-time',
  /** Verdict on errors that this system generates; responses of executors do not carry it. */
  verdict: 'vanillaturn-verdict',
  forwardedFrom: 'vanillaturn-forwarded-from'
} as const

/** Copies headers, except hop-by-hop headers, headers named by `connection`, and `omitted`. */
export function endToEndHeaders (headers: Iterable<[string, string | string[]]>, omitted: readonly string[] = []): Record<string, string | string[]> {
  const entries = [...headers]
  const connection = entries.filter(([name]) => name.toLowerCase() === 'connection').flatMap(([, value]) => String(value).split(','))
  const dropped = new Set([...HOP_BY_HOP, ...connection.map(name => name.trim().toLowerCase()), ...omitted])
  const result: Record<string, string | string[]> = {}
  for (const [name, value] of entries) {
    if (!dropped.has(name.toLowerCase())) result[name.toLowerCase()] = value
  }
  return result
}
