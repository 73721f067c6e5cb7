import { z } from 'zod'

const logicalTime = z.number().int().nonnegative()

const count = z.number().int().nonnegative()

/** Slots and connections of one executor that a holder, an entry instance, uses. `connections` is the greater of the open and the granted number. */
export interface SlotUse {
  readonly executor: string
  readonly held: number
  readonly inFlight: number
  readonly connections: number
}

/** A holder's share of one executor's slots and connections. */
export interface SlotGrant {
  readonly executor: string
  readonly slots: number
  readonly connections: number
}

/** Uses and grants are encoded as tuples, because field names would be most of their bytes. */
const slotUseSchema = z.tuple([z.string(), count, count, count])
const slotGrantSchema = z.tuple([z.string(), count, count])

export function encodeUses (uses: readonly SlotUse[]): Array<z.infer<typeof slotUseSchema>> {
  return uses.map(({ executor, held, inFlight, connections }) => [executor, held, inFlight, connections])
}

export function decodeUses (encoded: ReadonlyArray<z.infer<typeof slotUseSchema>>): SlotUse[] {
  return encoded.map(([executor, held, inFlight, connections]) => ({ executor, held, inFlight, connections }))
}

export function encodeGrants (grants: readonly SlotGrant[]): Array<z.infer<typeof slotGrantSchema>> {
  return grants.map(({ executor, slots, connections }) => [executor, slots, connections])
}

export function decodeGrants (encoded: ReadonlyArray<z.infer<typeof slotGrantSchema>>): SlotGrant[] {
  return encoded.map(([executor, slots, connections]) => ({ executor, slots, connections }))
}

/** Messages between entry instances after the handshake. */
export const linkMessageSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('heartbeat'), logicalTime, leaving: z.boolean() }),
  z.object({ type: z.literal('slotReport'), logicalTime, sequence: z.number().int(), appliedGrant: z.number().int(), term: z.number().int(), demand: z.record(z.string(), z.number().int()), uses: z.array(slotUseSchema), leaving: z.boolean() }),
  z.object({ type: z.literal('slotGrants'), logicalTime, term: z.number().int(), sequence: z.number().int(), answersReport: z.number().int(), validMilliseconds: z.number().int(), grants: z.array(slotGrantSchema) }),
  z.object({ type: z.literal('promiseRequest'), logicalTime, failureDomain: z.string(), term: z.number().int(), request: z.number().int(), durationMilliseconds: z.number().int() }),
  z.object({ type: z.literal('promise'), logicalTime, failureDomain: z.string(), term: z.number().int(), request: z.number().int(), granted: z.boolean() }),
  /** Announces the revision in force at the sender; a peer that lacks it requests its text. `digest` is the xxHash of that text. */
  z.object({ type: z.literal('configurationAnnouncement'), logicalTime, revision: z.number().int(), digest: z.string() }),
  z.object({ type: z.literal('configurationRequest'), logicalTime }),
  z.object({ type: z.literal('configurationText'), logicalTime, revision: z.number().int(), text: z.string() })
])
export type LinkMessage = z.infer<typeof linkMessageSchema>
export type LinkMessageOf<Type extends LinkMessage['type']> = Extract<LinkMessage, { type: Type }>

/** Handshake messages. Each side proves that it holds a key by an HMAC over both nonces and both identities. */
export const handshakeSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('hello'), instance: z.string(), incarnation: z.string(), failureDomain: z.string(), nonce: z.string() }),
  z.object({ type: z.literal('challenge'), instance: z.string(), incarnation: z.string(), failureDomain: z.string(), nonce: z.string(), proof: z.string() }),
  z.object({ type: z.literal('proof'), proof: z.string() })
])
export type HandshakeMessage = z.infer<typeof handshakeSchema>
