import { request, type Agent } from 'undici'
import { z } from 'zod'
import { standinLedgerSchema, type StandinLedger } from '../contracts/standinLedger.js'
import type { ControlResult } from './loadResult.js'

const REQUEST_TIMEOUT_MILLISECONDS = 5000

const processorsSchema = z.object({ processorsThousandths: z.number() })
const statusSchema = z.object({ instance: z.string(), failureDomain: z.string(), isOwner: z.boolean(), used: processorsSchema.optional(), capacity: processorsSchema.optional() })
type InstanceStatus = z.infer<typeof statusSchema>

/** Resource counters of one entry instance at one point in time. */
export interface ControlCounters {
  readonly address: string
  readonly instance: string
  readonly processorSeconds: number
  readonly residentBytes: number
  readonly linkBytes: number
  readonly appends: number
}

/** Reads status and metrics of entry instances and the ledger of the stand-in. Values that cannot be read are undefined. */
export class SiteProbe {
  constructor (private readonly addresses: readonly string[], private readonly token: string, private readonly agent: Agent, private readonly standinAddress: string | undefined) {}

  /** Returns the status of every instance that responds, by address. */
  async readStatuses (): Promise<ReadonlyMap<string, InstanceStatus>> {
    const entries = await Promise.all(this.addresses.map(async address => [address, await this.readInstanceStatus(address)] as const))
    return new Map(entries.flatMap(([address, status]) => status === undefined ? [] : [[address, status]]))
  }

  async readControlCounters (): Promise<ControlCounters[]> {
    const counters = await Promise.all(this.addresses.map(async (address): Promise<ControlCounters | undefined> => {
      const [status, text] = await Promise.all([this.readInstanceStatus(address), this.readText(`${address}/metrics`)])
      if (text === undefined) return undefined
      const gaugeValue = (name: string): number => Number(new RegExp(`^vanillaturn_${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0)
      return { address, instance: status?.instance ?? address, processorSeconds: gaugeValue('processor_seconds'), residentBytes: gaugeValue('resident_bytes'), linkBytes: gaugeValue('link_bytes'), appends: gaugeValue('log_appends') }
    }))
    return counters.filter(entry => entry !== undefined)
  }

  /** Returns the ledger of the stand-ins, or undefined if there is no stand-in or it does not respond. */
  async readLedger (): Promise<StandinLedger | undefined> {
    if (this.standinAddress === undefined) return undefined
    const text = await this.readText(`${this.standinAddress}/standin/ran`)
    return text === undefined ? undefined : standinLedgerSchema.safeParse(JSON.parse(text)).data
  }

  /** Sets faults of the stand-in. Returns the reason of a failure, or undefined on success. */
  async setFaults (target: string, faults: Readonly<Record<string, boolean | number>>): Promise<string | undefined> {
    try {
      const response = await request(`${this.standinAddress}/standin/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ target, faults }), dispatcher: this.agent })
      await response.body.dump()
      if (response.statusCode === 204) return undefined
      return response.statusCode === 404 ? `the stand-in has no target '${target}'` : `the stand-in responded with status ${response.statusCode}`
    } catch (error) {
      return String(error)
    }
  }

  private async readInstanceStatus (address: string): Promise<InstanceStatus | undefined> {
    const text = await this.readText(`${address}/operator/status`, { authorization: `Bearer ${this.token}` })
    return text === undefined ? undefined : statusSchema.safeParse(JSON.parse(text)).data
  }

  private async readText (url: string, headers: Record<string, string> = {}): Promise<string | undefined> {
    try {
      const response = await request(url, { headers, dispatcher: this.agent, headersTimeout: REQUEST_TIMEOUT_MILLISECONDS, bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS })
      const text = await response.body.text()
      return response.statusCode === 200 ? text : undefined
    } catch {
      return undefined
    }
  }
}

/** Computes the control cost between two readings. An instance that restarted in between is counted from its restart. */
export function computeControlCost (before: readonly ControlCounters[], after: readonly ControlCounters[], durationMilliseconds: number): ControlResult[] {
  return after.map(counters => {
    const earlier = before.find(candidate => candidate.address === counters.address)
    const increase = (field: 'processorSeconds' | 'linkBytes' | 'appends'): number => {
      const startValue = earlier?.[field] ?? 0
      return counters[field] >= startValue ? counters[field] - startValue : counters[field]
    }
    return {
      instance: counters.instance,
      processorSeconds: increase('processorSeconds'),
      residentBytes: counters.residentBytes,
      linkBytesPerSecond: increase('linkBytes') * 1000 / durationMilliseconds,
      appends: increase('appends')
    }
  })
}
