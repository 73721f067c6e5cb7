/** Assumed sensitivity of a pair of images of which nothing is known yet; half a worker of filler work raises the tail latency by 40 %. */
const DEFAULT_SENSITIVITY = 0.7
/** Bound of a learned sensitivity; a tenth of a worker triples the tail latency. */
const MAXIMUM_SENSITIVITY = 11
/** Weight of the latest observation. Interference changes within seconds, so that old observations lose their value quickly. */
const LEARNING_RATE = 0.5
/** Least change of the shares that filler work uses from which an observation says something about interference. */
const MINIMUM_SHARE_CHANGE = 0.03

/** Share of a worker's processors that filler work of one image uses, by image. */
export type FillerShares = ReadonlyMap<string, number>

/** Tail latency of a serving task at one time, and the filler work beside it. */
export interface TailSample {
  readonly tailMilliseconds: number
  readonly fillerShares: FillerShares
}

/**
 * Learns how much filler work of one image raises the tail latency of serving tasks of another image. The sensitivity of a pair of
 * images is the increase of the logarithm of the tail latency when filler work uses a whole worker. A change of the tail latency counts as
 * caused by the filler work whose use changed at the same time; without such a change, the load of the serving task has changed.
 */
export class InterferenceModel {
  private readonly sensitivities = new Map<string, Map<string, number>>()

  /** Returns the sensitivity of serving tasks of an image to filler work of another image. */
  sensitivityOf (servingImage: string, fillerImage: string): number {
    return this.sensitivities.get(servingImage)?.get(fillerImage) ?? DEFAULT_SENSITIVITY
  }

  /** Returns the increase of the logarithm of the tail latency that filler work causes. */
  increaseBy (servingImage: string, fillerShares: FillerShares): number {
    let increase = 0
    for (const [image, share] of fillerShares) increase += this.sensitivityOf(servingImage, image) * share
    return increase
  }

  /** Learns from two successive samples of one serving task. */
  learn (servingImage: string, previous: TailSample, current: TailSample): void {
    if (previous.tailMilliseconds <= 0 || current.tailMilliseconds <= 0) return
    const changes = shareChanges(previous.fillerShares, current.fillerShares)
    let squares = 0
    let expected = 0
    for (const [image, change] of changes) {
      squares += change * change
      expected += this.sensitivityOf(servingImage, image) * change
    }
    if (Math.sqrt(squares) < MINIMUM_SHARE_CHANGE) return
    const error = Math.log(current.tailMilliseconds / previous.tailMilliseconds) - expected
    for (const [image, change] of changes) this.adjust(servingImage, image, LEARNING_RATE * error * change / squares)
  }

  private adjust (servingImage: string, fillerImage: string, difference: number): void {
    const byFiller = this.sensitivities.get(servingImage) ?? new Map<string, number>()
    this.sensitivities.set(servingImage, byFiller)
    byFiller.set(fillerImage, Math.min(MAXIMUM_SENSITIVITY, Math.max(0, this.sensitivityOf(servingImage, fillerImage) + difference)))
  }
}

function shareChanges (previous: FillerShares, current: FillerShares): Map<string, number> {
  const changes = new Map<string, number>()
  for (const image of new Set([...previous.keys(), ...current.keys()])) {
    const change = (current.get(image) ?? 0) - (previous.get(image) ?? 0)
    if (change !== 0) changes.set(image, change)
  }
  return changes
}
