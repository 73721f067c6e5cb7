import { z } from 'zod'

const listenAddress = z.strictObject({ host: z.string().default('127.0.0.1'), port: z.number().int().min(0).max(65_535) })
const logLevel = z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info')
const secret = z.string().min(16, 'expected a key of at least 16 characters')

/** Settings of an entry instance. */
export const entrySettingsSchema = z.strictObject({
  instance: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  callers: listenAddress,
  links: listenAddress,
  platformAddress: z.url(),
  /** Keys that authenticate the links between instances. Proofs are made with the first; all are accepted. */
  linkKeys: z.array(secret).min(1).max(2),
  /** Tokens that authenticate the commands of operators. */
  operatorTokens: z.array(secret).min(1).max(2),
  logLevel,
  /** Minimum number of records and time that the platform's log retains; 20,000 and one day if absent. A shorter retention is also detected from the offsets in its responses. */
  logRetentionRecords: z.number().int().positive().optional(),
  logRetentionMilliseconds: z.number().int().positive().optional(),
  /** Maximum time for which a graceful shutdown waits for requests in flight, in milliseconds. */
  stopBoundMilliseconds: z.number().int().positive().default(30_000)
})
export type EntrySettings = z.infer<typeof entrySettingsSchema>

/** Settings of the command-line tool of operators. */
export const operatorSettingsSchema = z.strictObject({
  platformAddress: z.url(),
  /** Addresses of entry instances for callers, as HTTP origins. */
  entryAddresses: z.array(z.url()).min(1),
  operatorToken: secret
})

/** Settings of the stand-in of platform, workers and executors. */
export const standinSettingsSchema = z.strictObject({
  platform: listenAddress,
  /** Lag of the instance list, in milliseconds. */
  listLagMilliseconds: z.number().int().nonnegative().default(1000),
  retainedRecords: z.number().int().positive().default(100_000),
  appendsPerSecond: z.number().int().positive().default(400),
  appendMilliseconds: z.number().nonnegative().default(4),
  seed: z.number().int().default(1),
  /** File of the site configuration whose executors and workers are started. */
  siteTextFile: z.string(),
  /** Entry instances shown in the instance list. */
  entries: z.array(z.strictObject({ name: z.string(), failureDomain: z.string(), linkAddress: z.string(), callerAddress: z.string() })).default([]),
  /** Mean service time of a request on an executor of speed 1, in milliseconds. */
  serviceMilliseconds: z.number().positive().default(20),
  logLevel
})
