import { request, type Agent } from 'undici'
import { z } from 'zod'
import { standinLedgerSchema, type StandinLedger } from '../contracts/standinLedger.js'
import type { ControlResult } from './loadResult.js'

const CALL_TIMEOUT_MILLISECONDS = 5000

const processors = z.object({ processorsThousandths: z.number() })
const statusSchema = z.object({ instance: z.string(), failureDomain: z.string(), isOwner: z.boolean(), used: processors.optional(), capacity: processors.optional() })
type InstanceStatus = z.infer<typeof statusSchema>

/** Counters of one entry instance at one moment. */
export interface ControlCounters {
  readonly address: string
  readonly instance: string
  readonly processorSeconds: number
  readonly residentBytes: number
  readonly linkBytes: number
  readonly appends: number
}

/** Reads status, metrics and the stand-in's record. What cannot be read is undefined. */
export class SiteProbe {
  constructor (private readonly addresses: readonly string[], private readonly token: string, private readonly agent: Agent, private readonly standinAddress: string | undefined) {}

  /** Status of every instance that answers, by its address. */
  async readStatuses (): Promise<ReadonlyMap<string, InstanceStatus>> {
    const answers = await Promise.all(this.addresses.map(async address => [address, await this.statusOf(address)] as const))
    return new Map(answers.flatMap(([address, status]) => status === undefined ? [] : [[address, status]]))
  }

  async readControlCounters (): Promise<ControlCounters[]> {
    const readings = await Promise.all(this.addresses.map(async (address): Promise<ControlCounters | undefined> => {
      const [status, text] = await Promise.all([this.statusOf(address), this.read(`${address}/metrics`)])
      if (text === undefined) return undefined
      const value = (name: string): number => Number(new RegExp(`^vanillaturn_${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0)
      return { address, instance: status?.instance ?? address, processorSeconds: value('processor_seconds'), residentBytes: value('resident_bytes'), linkBytes: value('link_bytes'), appends: value('log_appends') }
    }))
    return readings.filter(reading => reading !== undefined)
  }

  /** What the stand-ins ran; undefined without a stand-in or if it does not answer. */
  async readLedger (): Promise<StandinLedger | undefined> {
    if (this.standinAddress === undefined) return undefined
    const text = await this.read(`${this.standinAddress}/standin/ran`)
    return text === undefined ? undefined : standinLedgerSchema.safeParse(JSON.parse(text)).data
  }

  /** Switches faults of the stand-in; returns why it failed, or undefined. */
  async setFaults (target: string, faults: Readonly<Record<string, boolean | number>>): Promise<string | undefined> {
    try {
      const answer = await request(`${this.standinAddress}/standin/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ target, faults }), dispatcher: this.agent })
      await answer.body.dump()
      if (answer.statusCode === 204) return undefined
      return answer.statusCode === 404 ? `the stand-in has no '${target}'` : `the stand-in answered with status ${answer.statusCode}`
    } catch (error) {
      return String(error)
    }
  }

  private async statusOf (address: string): Promise<InstanceStatus | undefined> {
    const text = await this.read(`${address}/operator/status`, { authorization: `Bearer ${this.token}` })
    return text === undefined ? undefined : statusSchema.safeParse(JSON.parse(text)).data
  }

  private async read (url: string, headers: Record<string, string> = {}): Promise<string | undefined> {
    try {
      const answer = await request(url, { headers, dispatcher: this.agent, headersTimeout: CALL_TIMEOUT_MILLISECONDS, bodyTimeout: CALL_TIMEOUT_MILLISECONDS })
      const text = await answer.body.text()
      return answer.statusCode === 200 ? text : undefined
    } catch {
      return undefined
    }
  }
}

/** Cost between two readings. An instance that restarted in between is counted from its restart. */
export function computeControlCost (before: readonly ControlCounters[], after: readonly ControlCounters[], durationMilliseconds: number): ControlResult[] {
  return after.map(reading => {
    const earlier = before.find(candidate => candidate.address === reading.address)
    const difference = (field: 'processorSeconds' | 'linkBytes' | 'appends'): number => {
      const start = earlier?.[field] ?? 0
      return reading[field] >= start ? reading[field] - start : reading[field]
    }
    return {
      instance: reading.instance,
      processorSeconds: difference('processorSeconds'),
      residentBytes: reading.residentBytes,
      linkBytesPerSecond: difference('linkBytes') * 1000 / durationMilliseconds,
      appends: difference('appends')
    }
  })
}
