/**
 * Divides `total` units in proportion to the weights, by the largest remainder method. The parts add up to `total`, or to 0
 * if all weights are 0. `rotation` breaks ties between equal remainders, so that the odd units of many divisions do not all
 * go to the same part.
 */
export function divideProportionally (total: number, weights: readonly number[], rotation: number): number[] {
  const sum = weights.reduce((left, right) => left + right, 0)
  if (sum === 0) return weights.map(() => 0)
  const exact = weights.map(weight => total * weight / sum)
  const parts = exact.map(Math.floor)
  const count = weights.length
  const byRemainder = exact
    .map((value, index) => ({ index, remainder: value - Math.floor(value), turn: (index + rotation) % count }))
    .sort((left, right) => right.remainder - left.remainder || left.turn - right.turn)
  let left = total - parts.reduce((sumOfParts, part) => sumOfParts + part, 0)
  for (const { index } of byRemainder) {
    if (left <= 0) break
    parts[index] = (parts[index] ?? 0) + 1
    left -= 1
  }
  return parts
}
