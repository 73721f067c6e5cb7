/**
 * Divides `total` units by weight with the largest remainder method; the parts add up to `total`, or to 0 without weights.
 * `rotation` decides among equal remainders, so that the odd units of many divisions do not all go to the same part.
 */
export function divideProportionally (total: number, weights: readonly number[], rotation: number): number[] {
  const sum = weights.reduce((left, right) => left + right, 0)
  if (sum === 0) return weights.map(() => 0)
  const exact = weights.map(weight => total * weight / sum)
  const parts = exact.map(Math.floor)
  const count = weights.length
  const order = exact
    .map((value, index) => ({ index, remainder: value - Math.floor(value), turn: (index + rotation) % count }))
    .sort((left, right) => right.remainder - left.remainder || left.turn - right.turn)
  let left = total - parts.reduce((sumOfParts, part) => sumOfParts + part, 0)
  for (const { index } of order) {
    if (left <= 0) break
    parts[index] = (parts[index] ?? 0) + 1
    left -= 1
  }
  return parts
}
