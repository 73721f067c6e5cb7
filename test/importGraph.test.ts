import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join, relative, resolve } from 'node:path'
import { describe, it } from 'node:test'

const ROOTS = ['src', 'platform'] as const
const IMPORT = /^(?:import|export)\s[^'"]*from\s+'(\.[^']*)\.js'|^import\s+'(\.[^']*)\.js'/gm

/** Returns the files that each source file imports, including type imports. */
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

/** Returns one import cycle as a list of files, or undefined if there is none. */
function findCycle (graph: ReadonlyMap<string, readonly string[]>): string[] | undefined {
  const done = new Set<string>()
  const visit = (file: string, path: readonly string[]): string[] | undefined => {
    const start = path.indexOf(file)
    if (start >= 0) return [...path.slice(start), file]
    if (done.has(file)) return undefined
    for (const next of graph.get(file) ?? []) {
      const cycle = visit(next, [...path, file])
      if (cycle !== undefined) return cycle
    }
    done.add(file)
    return undefined
  }
  for (const file of graph.keys()) {
    const cycle = visit(file, [])
    if (cycle !== undefined) return cycle
  }
  return undefined
}

describe('import graph', () => {
  it('includes every imported file', () => {
    const graph = readGraph()
    assert.ok(graph.get('platform/main.ts')?.includes('src/cluster/clusterInstance.ts'))
    for (const [file, imports] of graph) {
      for (const imported of imports) assert.ok(graph.has(imported), `${file} imports ${imported}`)
    }
  })

  it('finds a cycle where there is one', () => {
    assert.deepEqual(findCycle(new Map([['a', ['b']], ['b', ['c']], ['c', ['b']]])), ['b', 'c', 'b'])
  })

  it('has no cycles', () => {
    assert.equal(findCycle(readGraph())?.join(' -> '), undefined)
  })
})
