import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import type { LoadResult } from './loadResult.js'

const STROKE_COLOURS = ['#c0392b', '#2471a3', '#7d8a2e', '#7d3c98']

/** Renders the result of a run as an HTML page. The plotting library is inlined, so that the page works offline. */
export function renderPlotPage (result: LoadResult, title: string): string {
  const moduleRequire = createRequire(import.meta.url)
  const script = readFileSync(moduleRequire.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8')
  const style = readFileSync(moduleRequire.resolve('uplot/dist/uPlot.min.css'), 'utf8')
  const { seconds, answerTimes, used } = result.series
  const charts = [
    { title: 'Response time from the due time of a request, 99th percentile of each second', unit: 'ms', names: Object.keys(answerTimes), data: [seconds, ...Object.values(answerTimes)] },
    { title: "Workers' processors in use", unit: '%', names: ['in use'], data: [seconds, used.map(share => share === null ? null : share * 100)] }
  ]
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${escapeHtml(title)}</title>
<style>body{font:14px system-ui;margin:2em}${style}</style>
<h1>${escapeHtml(title)}</h1>
<p>seed ${result.seed}, ${(result.durationMilliseconds / 1000).toFixed(1)} s</p>
<div id="charts"></div>
<script>${script}</script>
<script>
const strokes = ${JSON.stringify(STROKE_COLOURS)}
for (const chart of ${JSON.stringify(charts).replaceAll('<', '\\u003c')}) {
  const series = chart.names.map((label, index) => ({ label: label + ' (' + chart.unit + ')', stroke: strokes[index % strokes.length], width: 2 }))
  new uPlot({ title: chart.title, width: 900, height: 320, scales: { x: { time: false } }, axes: [{ label: 'second of the run' }, { label: chart.unit }], series: [{ label: 'second' }, ...series] }, chart.data, document.getElementById('charts'))
}
</script>
</html>
`
}

function escapeHtml (text: string): string {
  return text.replace(/[&<>"']/g, character => `&#${character.charCodeAt(0)};`)
}
