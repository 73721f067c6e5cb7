import neostandard from 'neostandard'

/** Layers from the bottom up. A layer may import from itself and from layers before it. */
const LAYERS = ['base', 'contracts', 'zones', 'machines', 'links', 'requests', 'scheduling', 'cluster', 'entry', 'standins', 'load', 'operator', 'programs']

/** Layers that may not see each other although one stands above the other. */
const SEPARATED = { standins: ['requests', 'scheduling', 'entry', 'zones'], scheduling: ['requests'], cluster: ['requests', 'scheduling', 'zones', 'machines'], operator: ['standins', 'load', 'entry'] }

const layerRules = LAYERS.map((layer, index) => {
  const forbidden = ['platform', ...LAYERS.slice(index + 1), ...(SEPARATED[layer] ?? [])]
  return {
    files: [`src/${layer}/**/*.ts`],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: forbidden.length === 0 ? [] : [{ regex: `/(${forbidden.join('|')})/`, message: `src/${layer} may import only from layers below it.` }]
      }]
    }
  }
})

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'run/**', 'target/**'] }),
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    rules: {
      'no-restricted-exports': ['error', { restrictDefaultExports: { direct: true, named: true, defaultFrom: true, namedFrom: true, namespaceFrom: true } }],
      'no-restricted-syntax': ['error', {
        selector: 'Program > VariableDeclaration[kind=let], Program > ExportNamedDeclaration > VariableDeclaration[kind=let]',
        message: 'No mutable state at module level.'
      }],
      'max-lines': ['warn', { max: 450, skipBlankLines: true, skipComments: true }]
    }
  },
  ...layerRules
]
