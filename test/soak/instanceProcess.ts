import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const PROGRAM = ['--max-old-space-size=160', '--max-semi-space-size=4', 'target/instance.cjs']
/** Grace time between SIGTERM and SIGKILL, in milliseconds. */
const GRACE_MILLISECONDS = 6000
const PORTS = { callers: 8161, readiness: 8167, link: 7720 }

/** Pause before a process that ended is started again, in milliseconds, unless a fault says otherwise. */
const RESTART_MILLISECONDS = 1000

/** One process of the program, from start to end. Times are on the monotonic clock in milliseconds. */
export interface ProcessState {
  readonly child: ChildProcess
  /** When SIGTERM was sent. */
  stoppedAt: number | undefined
  isKilled: boolean
  /** End of the latest pause. */
  pausedUntil: number
  restartDelayMilliseconds: number
  /** It has answered a caller. */
  hasResponded: boolean
}

/** What an instance tells about its processes. */
export interface InstanceObserver {
  onStarted (instance: InstanceProcess): void
  onEnded (instance: InstanceProcess, how: string): void
  onProblem (problem: string): void
  /** A bound in time was not kept. */
  onMissedBound (problem: string): void
}

/** An instance of the program on its own loopback address, as the platform runs it: started, signalled, restarted. */
export class InstanceProcess {
  private current: ProcessState | undefined
  private readonly settingsPath: string
  private readonly logPath: string
  private isClosed = false

  constructor (readonly name: string, readonly host: string, directory: string, private readonly processorShare: number, private readonly observer: InstanceObserver) {
    this.settingsPath = join(directory, `${name}.toml`)
    this.logPath = join(directory, `${name}.log`)
  }

  get callersAddress (): string {
    return `${this.host}:${PORTS.callers}`
  }

  get readinessAddress (): string {
    return `${this.host}:${PORTS.readiness}`
  }

  get linkAddress (): string {
    return `${this.host}:${PORTS.link}`
  }

  /** The running process. */
  get process (): ProcessState | undefined {
    return this.current
  }

  writeSettings (logAddress: string): void {
    writeFileSync(this.settingsPath, `node = "${this.name}"
ip = "${this.host}"
zone = "a"
portRange = [${PORTS.link}, ${PORTS.link + 15}]
listen = { front = "${this.callersAddress}", ready = "${this.readinessAddress}" }
limits = { cpuShare = ${this.processorShare}, cores = 1, linkMbps = 1000 }
bounds = { holdMaxMs = 6000, graceS = ${GRACE_MILLISECONDS / 1000}, status_s = 120 }
platform = { addr = "${logAddress}" }
`)
  }

  start (): void {
    if (this.current !== undefined || this.isClosed) return
    const output = openSync(this.logPath, 'a')
    const child = spawn(process.execPath, PROGRAM, { stdio: ['ignore', output, output], env: { ...process.env, VANILLATURN_BOOT: this.settingsPath } })
    closeSync(output)
    const process: ProcessState = { child, stoppedAt: undefined, isKilled: false, pausedUntil: -Infinity, restartDelayMilliseconds: RESTART_MILLISECONDS, hasResponded: false }
    this.current = process
    this.observer.onStarted(this)
    child.once('exit', (code, signal) => this.onExit(process, code ?? signal))
  }

  /** Ends the process at once; another one is started later. */
  kill (downMilliseconds: number): void {
    if (this.current === undefined) return
    Object.assign(this.current, { isKilled: true, restartDelayMilliseconds: downMilliseconds })
    this.current.child.kill('SIGKILL')
  }

  /** Stops the process gracefully; another one is started some time after its end. */
  stop (downMilliseconds: number): void {
    const process = this.current
    if (process === undefined || process.stoppedAt !== undefined) return
    Object.assign(process, { stoppedAt: performance.now(), restartDelayMilliseconds: downMilliseconds })
    process.child.kill('SIGTERM')
    setTimeout(() => {
      if (this.current !== process || process.isKilled) return
      if (process.pausedUntil < Number(process.stoppedAt)) this.observer.onMissedBound(`GracefulStop: ${this.name} has not ended ${GRACE_MILLISECONDS} ms after SIGTERM`)
      this.kill(downMilliseconds)
    }, GRACE_MILLISECONDS).unref()
  }

  pause (milliseconds: number): void {
    const process = this.current
    if (process === undefined) return
    process.pausedUntil = Math.max(process.pausedUntil, performance.now() + milliseconds)
    process.child.kill('SIGSTOP')
    setTimeout(() => { if (performance.now() >= process.pausedUntil) process.child.kill('SIGCONT') }, milliseconds + 1)
  }

  /** Tells the process that its settings file has changed. One that does not handle signals yet would be ended by that. */
  reload (): void {
    if (this.current?.hasResponded === true) this.current.child.kill('SIGHUP')
  }

  /** Ends the process for good. */
  async close (): Promise<void> {
    this.isClosed = true
    const process = this.current
    if (process === undefined) return
    const ended = new Promise(resolve => process.child.once('exit', resolve))
    this.kill(0)
    await ended
  }

  private onExit (process: ProcessState, how: number | string | null): void {
    this.current = undefined
    this.observer.onEnded(this, `${how}`)
    // A process that has not come to listen yet is ended by the signal itself.
    const isAsked = (process.stoppedAt !== undefined && (how === 0 || how === 'SIGTERM')) || (process.isKilled && how === 'SIGKILL')
    if (!isAsked) this.observer.onProblem(`EndsByItself: ${this.name} ended with ${how}`)
    setTimeout(() => this.start(), process.restartDelayMilliseconds)
  }
}
