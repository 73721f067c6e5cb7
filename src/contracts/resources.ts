import { z } from 'zod'

/** Integer amounts: processors in thousandths of a core, memory in bytes, accelerators as a count. */
export const resourcesSchema = z.strictObject({
  processorsThousandths: z.number().int().nonnegative(),
  memoryBytes: z.number().int().nonnegative(),
  accelerators: z.number().int().nonnegative().default(0)
})
export type Resources = z.infer<typeof resourcesSchema>

export const NO_RESOURCES: Resources = { processorsThousandths: 0, memoryBytes: 0, accelerators: 0 }

export function addResources (left: Resources, right: Resources): Resources {
  return {
    processorsThousandths: left.processorsThousandths + right.processorsThousandths,
    memoryBytes: left.memoryBytes + right.memoryBytes,
    accelerators: left.accelerators + right.accelerators
  }
}

export function subtractResources (left: Resources, right: Resources): Resources {
  return {
    processorsThousandths: left.processorsThousandths - right.processorsThousandths,
    memoryBytes: left.memoryBytes - right.memoryBytes,
    accelerators: left.accelerators - right.accelerators
  }
}

/** Multiplies every dimension by an integer. */
export function multiplyResources (resources: Resources, factor: number): Resources {
  return {
    processorsThousandths: resources.processorsThousandths * factor,
    memoryBytes: resources.memoryBytes * factor,
    accelerators: resources.accelerators * factor
  }
}

/** Returns whether `demand` is within `available` in every dimension. */
export function fitsWithin (demand: Resources, available: Resources): boolean {
  return demand.processorsThousandths <= available.processorsThousandths &&
    demand.memoryBytes <= available.memoryBytes &&
    demand.accelerators <= available.accelerators
}

export function equalResources (left: Resources, right: Resources): boolean {
  return left.processorsThousandths === right.processorsThousandths && left.memoryBytes === right.memoryBytes && left.accelerators === right.accelerators
}
