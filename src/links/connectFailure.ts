/** Error codes of calls that failed before a connection stood. */
const CONNECT_FAILURES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Whether a request failed before a connection stood, so that no byte of it was sent. */
export function isConnectFailure (error: unknown): boolean {
  const code = (error as { code?: unknown } | undefined)?.code
  return typeof code === 'string' && CONNECT_FAILURES.has(code)
}
