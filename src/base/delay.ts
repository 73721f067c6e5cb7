/**
 * Waits for `milliseconds` on the runtime's clock, or less when the signal aborts.
 * Resolves in both cases; callers check the signal.
 */
export async function delay (milliseconds: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) return
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, milliseconds)
    signal?.addEventListener('abort', finish, { once: true })
  })
}

/** Returns a full-jitter exponential backoff: uniform between 0 and the capped exponential delay, if `fraction` is uniform in [0, 1). */
export function backoffMilliseconds (attempt: number, baseMilliseconds: number, maximumMilliseconds: number, fraction: number): number {
  const ceiling = Math.min(maximumMilliseconds, baseMilliseconds * 2 ** attempt)
  return Math.round(ceiling * fraction)
}
