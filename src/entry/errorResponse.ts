import { httpStatusOf, type ServingError } from '../contracts/verdict.js'
import { CALLER_HEADERS } from '../requests/headers.js'

/** Creates the JSON response for an error. */
export function errorResponse (error: ServingError): Response {
  const headers = new Headers({ 'content-type': 'application/json', [CALLER_HEADERS.verdict]: error.verdict })
  if (error.retryAfterSeconds !== undefined) headers.set('retry-after', String(error.retryAfterSeconds))
  return new Response(JSON.stringify({ error }), { status: httpStatusOf(error), headers })
}
