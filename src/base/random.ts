import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

/** Seeded pseudo-random number generator; the same seed gives the same sequence. */
export class Random {
  private readonly generator: ReturnType<typeof xoroshiro128plus>

  constructor (readonly seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** Returns a uniformly distributed number in [0, 1). */
  fraction (): number {
    return uniformFloat64(this.generator)
  }

  /** Returns a uniformly distributed integer in [0, bound). */
  integerBelow (bound: number): number {
    return uniformInt(this.generator, 0, bound - 1)
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.fraction())
  }

  /** Returns a random element of a non-empty array. */
  pick<T> (values: readonly T[]): T {
    return values[this.integerBelow(values.length)] as T
  }
}
