import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join, relative, resolve } from 'node:path'
import { describe, it } from 'node:test'

const ROOTS = ['src', 'platform'] as const
const IMPORT = /^(?:import|export)\s[^'"]*from\s+'(\.[^']*)\.js'|^import\s+'(\.[^']*)\.js'/gm

/** Files that each source file imports, types included. */
function readGraph (): Map<string, string[]> {
  const graph = new Map<string, string[]>()
  for (const root of ROOTS) {
    for (const entry of readdirSync(root, { recursive: true, encoding: 'utf8' })) {
      if (!entry.endsWith('.ts')) continue
      const file = join(root, entry)
      const imports = [...readFileSync(file, 'utf8').matchAll(IMPORT)].map(match => `${relative('.', resolve(dirname(file), match[1] ?? match[2] ?? ''))}.ts`)
      graph.set(file, imports)
    }
  }
  return graph
}

/** One circle as a list of files, or undefined if there is none. */
function findCircle (graph: ReadonlyMap<string, readonly string[]>): string[] | undefined {
  const done = new Set<string>()
  const visit = (file: string, path: readonly string[]): string[] | undefined => {
    const start = path.indexOf(file)
    if (start >= 0) return [...path.slice(start), file]
    if (done.has(file)) return undefined
    for (const next of graph.get(file) ?? []) {
      const circle = visit(next, [...path, file])
      if (circle !== undefined) return circle
    }
    done.add(file)
    return undefined
  }
  for (const file of graph.keys()) {
    const circle = visit(file, [])
    if (circle !== undefined) return circle
  }
  return undefined
}

describe('import graph', () => {
  it('is read whole', () => {
    const graph = readGraph()
    assert.ok(graph.get('platform/main.ts')?.includes('src/cluster/clusterInstance.ts'))
    for (const [file, imports] of graph) {
      for (const imported of imports) assert.ok(graph.has(imported), `${file} imports ${imported}`)
    }
  })

  it('finds a circle where there is one', () => {
    assert.deepEqual(findCircle(new Map([['a', ['b']], ['b', ['c']], ['c', ['b']]])), ['b', 'c', 'b'])
  })

  it('has no circles', () => {
    assert.equal(findCircle(readGraph())?.join(' -> '), undefined)
  })
})
