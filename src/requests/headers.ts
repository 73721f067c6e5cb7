/** Headers that belong to one hop and are not passed on (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/** Headers of this system that callers send. */
export const CALLER_HEADERS = {
  idempotencyKey: 'idempotency-key',
  urgency: 'vanillaturn-urgency',
  deadlineMilliseconds: 'vanillaturn-deadline-milliseconds',
  request: 'vanillaturn-request',
  logicalTime: 'vanillaturn-logical-time',
  /** Verdict of an error of this system; answers of executors do not carry it. */
  verdict: 'vanillaturn-verdict',
  forwardedFrom: 'vanillaturn-forwarded-from'
} as const

/** Copies headers without those of one hop, those named by `connection`, and `omitted`. */
export function endToEndHeaders (headers: Iterable<[string, string | string[]]>, omitted: readonly string[] = []): Record<string, string | string[]> {
  const all = [...headers]
  const connection = all.filter(([name]) => name.toLowerCase() === 'connection').flatMap(([, value]) => String(value).split(','))
  const dropped = new Set([...HOP_BY_HOP, ...connection.map(name => name.trim().toLowerCase()), ...omitted])
  const kept: Record<string, string | string[]> = {}
  for (const [name, value] of all) {
    if (!dropped.has(name.toLowerCase())) kept[name.toLowerCase()] = value
  }
  return kept
}
