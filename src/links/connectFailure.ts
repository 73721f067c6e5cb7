/** Error codes of requests that failed before a connection was established. */
const CONNECT_FAILURE_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

/** Returns whether a request failed before a connection was established, so that no byte of it was sent. */
export function isConnectFailure (error: unknown): boolean {
  const code = (error as { code?: unknown } | undefined)?.code
  return typeof code === 'string' && CONNECT_FAILURE_CODES.has(code)
}
