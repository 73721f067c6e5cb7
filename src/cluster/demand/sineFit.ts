/** A sinusoid around a mean: `mean + cosine * cos(2πt/period) + sine * sin(2πt/period)`, with times in samples. */
export interface Sine {
  readonly periodSamples: number
  readonly mean: number
  readonly cosine: number
  readonly sine: number
  /** Share of the variance of the series that the sinusoid explains, 0 to 1. */
  readonly explainedShare: number
}

/** Returns the value of a sinusoid at a time, in samples. */
export function evaluateSine ({ periodSamples, mean, cosine, sine }: Sine, time: number): number {
  const angle = 2 * Math.PI * time / periodSamples
  return mean + cosine * Math.cos(angle) + sine * Math.sin(angle)
}

/**
 * Fits a sinusoid with one of the candidate periods to a series by least squares, which needs little more than one period of samples
 * (a periodogram, see Lomb 1976). Returns undefined for a constant series.
 */
export function fitSine (values: readonly number[], candidatePeriods: readonly number[]): Sine | undefined {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0)
  if (squares === 0) return undefined
  let best: Sine | undefined
  for (const periodSamples of candidatePeriods) {
    const sine = fitPeriod(values, periodSamples, squares)
    if (sine !== undefined && (best === undefined || sine.explainedShare > best.explainedShare)) best = sine
  }
  return best
}

function fitPeriod (values: readonly number[], periodSamples: number, squares: number): Sine | undefined {
  // Normal equations of the basis 1, cos, sin; the last column is the right-hand side.
  const rows = [[0, 0, 0, 0], [0, 0, 0, 0], [0, 0, 0, 0]]
  values.forEach((value, time) => {
    const angle = 2 * Math.PI * time / periodSamples
    const basis = [1, Math.cos(angle), Math.sin(angle)]
    rows.forEach((row, index) => {
      const factor = basis[index] as number
      basis.forEach((other, column) => { row[column] = (row[column] as number) + factor * other })
      row[3] = (row[3] as number) + factor * value
    })
  })
  const solution = solve(rows)
  if (solution === undefined) return undefined
  const [mean, cosine, sine] = solution as [number, number, number]
  const fitted = { periodSamples, mean, cosine, sine, explainedShare: 0 }
  const residual = values.reduce((sum, value, time) => sum + (value - evaluateSine(fitted, time)) ** 2, 0)
  return { ...fitted, explainedShare: 1 - residual / squares }
}

/** Solves linear equations, given as rows with the right-hand side last, by Gaussian elimination. Returns undefined if they are singular. */
function solve (rows: number[][]): number[] | undefined {
  const size = rows.length
  for (let column = 0; column < size; column += 1) {
    const pivot = rows.slice(column).reduce((best, row) => Math.abs(row[column] as number) > Math.abs(best[column] as number) ? row : best)
    const divisor = pivot[column] as number
    if (Math.abs(divisor) < 1e-9) return undefined
    rows[rows.indexOf(pivot)] = rows[column] as number[]
    rows[column] = pivot.map(value => value / divisor)
    for (const [index, row] of rows.entries()) {
      if (index === column) continue
      const factor = row[column] as number
      rows[index] = row.map((value, position) => value - factor * ((rows[column] as number[])[position] as number))
    }
  }
  return rows.map(row => row[size] as number)
}
