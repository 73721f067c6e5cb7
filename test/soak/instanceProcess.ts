import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const PROGRAM = ['--max-old-space-size=160', '--max-semi-space-size=4', 'target/instance.cjs']
/** Grace period between SIGTERM and SIGKILL, in milliseconds. */
const GRACE_MILLISECONDS = 6000
const PORTS = { callers: 8161, readiness: 8167, link: 7720 }

/** Delay before an ended process is restarted, in milliseconds, unless a fault sets another one. */
const RESTART_DELAY_MILLISECONDS = 1000

/** State of one process of the program. Times are monotonic, in milliseconds. */
export interface ProcessState {
  readonly child: ChildProcess
  /** Time at which SIGTERM was sent. */
  stopRequestedAt: number | undefined
  isKilled: boolean
  /** End of the latest pause. */
  pausedUntil: number
  restartDelayMilliseconds: number
  /** Whether the process has responded to a caller. */
  hasResponded: boolean
}

/** Receives the events of an instance's processes. */
export interface InstanceObserver {
  onStarted (instance: InstanceProcess): void
  onEnded (instance: InstanceProcess, exitStatus: string): void
  onProblem (problem: string): void
  /** A time bound was missed. */
  onMissedBound (problem: string): void
}

/** An instance of the program on its own loopback address, which is started, signalled and restarted as the platform does it. */
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

  /** State of the running process. */
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
    const state: ProcessState = { child, stopRequestedAt: undefined, isKilled: false, pausedUntil: -Infinity, restartDelayMilliseconds: RESTART_DELAY_MILLISECONDS, hasResponded: false }
    this.current = state
    this.observer.onStarted(this)
    child.once('exit', (code, signal) => this.onExit(state, code ?? signal))
  }

  /** Kills the process at once. Another one is started after the delay. */
  kill (restartDelayMilliseconds: number): void {
    if (this.current === undefined) return
    Object.assign(this.current, { isKilled: true, restartDelayMilliseconds })
    this.current.child.kill('SIGKILL')
  }

  /** Stops the process gracefully. Another one is started after the delay from its exit. */
  stop (restartDelayMilliseconds: number): void {
    const state = this.current
    if (state === undefined || state.stopRequestedAt !== undefined) return
    Object.assign(state, { stopRequestedAt: performance.now(), restartDelayMilliseconds })
    state.child.kill('SIGTERM')
    setTimeout(() => {
      if (this.current !== state || state.isKilled) return
      if (state.pausedUntil < Number(state.stopRequestedAt)) this.observer.onMissedBound(`GracefulStop: ${this.name} has not ended ${GRACE_MILLISECONDS} ms after SIGTERM`)
      this.kill(restartDelayMilliseconds)
    }, GRACE_MILLISECONDS).unref()
  }

  pause (milliseconds: number): void {
    const state = this.current
    if (state === undefined) return
    state.pausedUntil = Math.max(state.pausedUntil, performance.now() + milliseconds)
    state.child.kill('SIGSTOP')
    setTimeout(() => { if (performance.now() >= state.pausedUntil) state.child.kill('SIGCONT') }, milliseconds + 1)
  }

  /** Tells the process to reload its settings file, once it has responded: SIGHUP ends a process that has not installed its handlers yet. */
  reload (): void {
    if (this.current?.hasResponded === true) this.current.child.kill('SIGHUP')
  }

  /** Ends the process permanently. */
  async close (): Promise<void> {
    this.isClosed = true
    const state = this.current
    if (state === undefined) return
    const ended = new Promise(resolve => state.child.once('exit', resolve))
    this.kill(0)
    await ended
  }

  private onExit (state: ProcessState, exitStatus: number | string | null): void {
    this.current = undefined
    this.observer.onEnded(this, `${exitStatus}`)
    // SIGTERM itself ends a process that is not listening yet.
    const isExpected = (state.stopRequestedAt !== undefined && (exitStatus === 0 || exitStatus === 'SIGTERM')) || (state.isKilled && exitStatus === 'SIGKILL')
    if (!isExpected) this.observer.onProblem(`EndsByItself: ${this.name} ended with ${exitStatus}`)
    setTimeout(() => this.start(), state.restartDelayMilliseconds)
  }
}
