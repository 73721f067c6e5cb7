import { existsSync, readFileSync } from 'node:fs'
import { it } from 'node:test'

const LIST_FILE = 'KNOWN-RED.txt'

/** Declares a test. If KNOWN-RED.txt lists it as `test: name`, its failure is printed but not counted. Any other failure counts. */
export function itUnlessKnownRed (name: string, run: () => Promise<void>, options: { readonly timeout?: number } = {}): void {
  const listed = existsSync(LIST_FILE) && readFileSync(LIST_FILE, 'utf8').split('\n').includes(`test: ${name}`)
  it(name, { ...options, todo: listed ? `listed in ${LIST_FILE}` : false }, run)
}
