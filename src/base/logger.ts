import loglevel from 'loglevel'

/** Severity names in the order of loglevel. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error'

/** Fields that a log line may carry. Each name has one meaning across all processes. */
export interface LogFields {
  readonly failureDomain?: string
  readonly service?: string
  readonly executor?: string
  readonly worker?: string
  readonly peer?: string
  readonly request?: string
  readonly job?: string
  readonly queue?: string
  /** Time from acceptance within which a job earns its full benefit, as estimated. */
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

/** Receives finished lines without the line end. */
export type LineSink = (line: string) => void

/** Structured log of one process: one JSON object a line. */
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

/** Returns the message of an unknown thrown value; its code if the message is empty, as with failed connections to several addresses. */
export function describeError (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  return error.message === '' ? String((error as { code?: unknown }).code ?? error.name) : error.message
}
