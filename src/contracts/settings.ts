import { z } from 'zod'

const listen = z.strictObject({ host: z.string().default('127.0.0.1'), port: z.number().int().min(0).max(65_535) })
const logLevel = z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info')
const secret = z.string().min(16, 'expected a key of at least 16 characters')

/** Settings of an entry instance. */
export const entrySettingsSchema = z.strictObject({
  instance: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  callers: listen,
  links: listen,
  platformAddress: z.url(),
  /** Keys of the links between instances. The first is used to prove, all are accepted. */
  linkKeys: z.array(secret).min(1).max(2),
  /** Tokens that operators' commands present. */
  operatorTokens: z.array(secret).min(1).max(2),
  logLevel,
  /** Records and time that the platform's log keeps at least; 20,000 and one day if absent. Shorter retention is also learned from the offsets it answers. */
  logRetentionRecords: z.number().int().positive().optional(),
  logRetentionMilliseconds: z.number().int().positive().optional(),
  /** Longest time a planned stop waits for requests in flight, in milliseconds. */
  stopBoundMilliseconds: z.number().int().positive().default(30_000)
})
export type EntrySettings = z.infer<typeof entrySettingsSchema>

/** Settings of the operators' tool. */
export const operatorSettingsSchema = z.strictObject({
  platformAddress: z.url(),
  /** Addresses of entry instances for callers, as http origins. */
  entryAddresses: z.array(z.url()).min(1),
  operatorToken: secret
})

/** Settings of the stand-in of platform, workers and executors. */
export const standinSettingsSchema = z.strictObject({
  platform: listen,
  /** Lag of the instance list, in milliseconds. */
  listLagMilliseconds: z.number().int().nonnegative().default(1000),
  retainedRecords: z.number().int().positive().default(100_000),
  appendsPerSecond: z.number().int().positive().default(400),
  appendMilliseconds: z.number().nonnegative().default(4),
  seed: z.number().int().default(1),
  /** Site text whose executors and workers are started. */
  siteTextFile: z.string(),
  /** Entry instances that the instance list shows. */
  entries: z.array(z.strictObject({ name: z.string(), failureDomain: z.string(), linkAddress: z.string(), callerAddress: z.string() })).default([]),
  /** Mean time an executor of speed 1 takes for a request, in milliseconds. */
  serviceMilliseconds: z.number().positive().default(20),
  logLevel
})
