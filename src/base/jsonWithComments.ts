import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError } from 'jsonc-parser'
import type { z } from 'zod'

/** One problem found in a JSON-with-comments file. Line and column count from 1. */
export interface Finding {
  readonly file: string
  readonly line: number
  readonly column: number
  /** Path of the key, such as `services.order.urgency`; empty for the whole file. */
  readonly key: string
  readonly message: string
}

/** A path of object keys and array indexes. */
export type KeyPath = ReadonlyArray<string | number>

/** Result of parsing: the value and a function that creates a finding at the position of a key, or all findings. */
export type ParseResult<T> =
  | { readonly kind: 'valid', readonly value: T, readonly createFinding: (path: KeyPath, message: string) => Finding }
  | { readonly kind: 'invalid', readonly findings: readonly Finding[] }

/** Parses JSON with comments and validates it against a schema. Does not throw on invalid input. */
export function parseJsonWithComments<T> (file: string, text: string, schema: z.ZodType<T>): ParseResult<T> {
  const errors: ParseError[] = []
  const root = parseTree(text, errors, { allowTrailingComma: true })
  if (errors.length > 0 || root === undefined) {
    const findings = errors.map(error => findingAt(file, text, error.offset, '', `${printParseErrorCode(error.error)}; JSON with comments is expected`))
    return { kind: 'invalid', findings: findings.length > 0 ? findings : [findingAt(file, text, 0, '', 'the file is empty; a JSON object is expected')] }
  }
  const createFinding = (path: KeyPath, message: string): Finding => findingAt(file, text, offsetOf(root, path), path.join('.'), message)
  const duplicate = findDuplicateKey(root, [])
  if (duplicate !== undefined) {
    return { kind: 'invalid', findings: [createFinding(duplicate, 'the key is given twice; each key may be given once')] }
  }
  const checked = schema.safeParse(getNodeValue(root))
  if (checked.success) return { kind: 'valid', value: checked.data, createFinding }
  return { kind: 'invalid', findings: checked.error.issues.flatMap(issue => toFindings(issue, createFinding)) }
}

/** Converts a schema issue to findings. Each unknown key becomes a separate finding at its position. */
function toFindings (issue: z.core.$ZodIssue, createFinding: (path: KeyPath, message: string) => Finding): Finding[] {
  const path = issue.path as KeyPath
  if (issue.code === 'unrecognized_keys') return issue.keys.map(key => createFinding([...path, key], 'unknown key; remove it or correct its name'))
  if (issue.code === 'invalid_type' && issue.message.endsWith('received undefined')) return [createFinding(path, `the key is missing; expected ${issue.expected}`)]
  return [createFinding(path, issue.message)]
}

/** Formats a finding as `file:line:column: key: message`. */
export function formatFinding (finding: Finding): string {
  const key = finding.key === '' ? '' : `${finding.key}: `
  return `${finding.file}:${finding.line}:${finding.column}: ${key}${finding.message}`
}

function findingAt (file: string, text: string, offset: number, key: string, message: string): Finding {
  const before = text.slice(0, offset)
  const line = before.split('\n').length
  const column = offset - (before.lastIndexOf('\n') + 1) + 1
  return { file, line, column, key, message }
}

/** Returns the offset of the deepest node that exists along the path. */
function offsetOf (root: Node, path: KeyPath): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length) as Array<string | number>)
    if (node !== undefined) return node.parent?.type === 'property' ? node.parent.offset : node.offset
  }
  return root.offset
}

function findDuplicateKey (node: Node, path: Array<string | number>): KeyPath | undefined {
  const seen = new Set<string>()
  for (const [index, child] of (node.children ?? []).entries()) {
    if (node.type === 'object') {
      const key = String(child.children?.[0]?.value)
      if (seen.has(key)) return [...path, key]
      seen.add(key)
      const inner = child.children?.[1]
      const found = inner === undefined ? undefined : findDuplicateKey(inner, [...path, key])
      if (found !== undefined) return found
    } else if (node.type === 'array') {
      const found = findDuplicateKey(child, [...path, index])
      if (found !== undefined) return found
    }
  }
  return undefined
}
