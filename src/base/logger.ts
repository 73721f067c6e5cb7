import loglevel from 'loglevel'

/** Severity levels of the loglevel library, in ascending order. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error'

/** Optional fields of a log line. A name has the same meaning in all processes. */
export interface LogFields {
  readonly failureDomain?: string
  readonly service?: string
  readonly executor?: string
  readonly worker?: string
  readonly peer?: string
  readonly request?: string
  readonly job?: string
  readonly queue?: string
  /** Estimated time from acceptance within which a job must finish to meet its latency objective. */
  readonly objectiveMilliseconds?: number
  readonly task?: string
  readonly stream?: string
  readonly revision?: number
  readonly term?: number
  readonly offset?: number
  readonly address?: string
  readonly count?: number
  readonly durationMilliseconds?: number
  readonly code?: string
  readonly reason?: string
}

/** Receives complete lines without the line terminator. */
export type LineSink = (line: string) => void

/** Structured log of one process: one JSON object per line. */
export class Logger {
  private readonly logger: loglevel.Logger

  constructor (readonly process: string, level: LogLevel, private readonly sink: LineSink) {
    this.logger = loglevel.getLogger(Symbol(process))
    this.logger.methodFactory = methodName => (message: string, fields: LogFields) => {
      this.sink(JSON.stringify({ type: 'log', time: new Date().toISOString(), level: methodName, process: this.process, message, ...fields }))
    }
    this.logger.setLevel(level, false)
  }

  debug (message: string, fields: LogFields = {}): void {
    this.logger.debug(message, fields)
  }

  info (message: string, fields: LogFields = {}): void {
    this.logger.info(message, fields)
  }

  warn (message: string, fields: LogFields = {}): void {
    this.logger.warn(message, fields)
  }

  error (message: string, fields: LogFields = {}): void {
    this.logger.error(message, fields)
  }
}

/** Returns the message of a thrown value, or its code if the message is empty, as for failed connections to several addresses. */
export function describeError (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  return error.message === '' ? String((error as { code?: unknown }).code ?? error.name) : error.message
}
