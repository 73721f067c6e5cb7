import type { Step, Task } from '../job.js'
import { processorsOf, type WorkerState } from '../workerState.js'
import { coresOf, remainingRunMilliseconds, type Victim, type VictimSelector } from './victim.js'

/** Capacity of a worker that is held for waiting tasks, in the units of its registry entry. */
export interface HeldAmounts {
  processors: number
  memory: number
  accelerators: number
}

/** Capacity of a worker that will be free once the runs that are being stopped or end soon are gone. */
export class WorkerRoom {
  private processors: number
  private memory: number
  private accelerators: number
  private foundVictims: Victim[] | undefined

  constructor (readonly worker: WorkerState, held: HeldAmounts | undefined, private readonly selector: VictimSelector, stopMilliseconds: number, now: number) {
    this.processors = worker.freeProcessors - (held?.processors ?? 0)
    this.memory = worker.freeMemory - (held?.memory ?? 0)
    this.accelerators = worker.entry.accelerators - worker.usedAccelerators - (held?.accelerators ?? 0)
    for (const task of worker.runs.values()) {
      if (task.phase === 'stopping' || (task.phase === 'running' && endsSoon(task, worker, stopMilliseconds, now))) this.add(task.step, 1)
    }
  }

  /** Adds the capacity of `count` tasks of a step; a negative count takes it. */
  add (step: Step, count: number): void {
    this.processors += count * processorsOf(step.specification)
    this.memory += count * step.specification.memoryMegabytes
    this.accelerators += count * step.specification.accelerators
  }

  /** Returns true if a task of the step fits beside the headroom, in thousandths of a core, once the victims in `gone` have ended. */
  fits (step: Step, headroom: number, gone: readonly Victim[] = []): boolean {
    let { processors, memory, accelerators } = this
    for (const victim of gone) {
      const count = this.countTasks(victim)
      processors += count * processorsOf(victim.step.specification)
      memory += count * victim.step.specification.memoryMegabytes
      accelerators += count * victim.step.specification.accelerators
    }
    const specification = step.specification
    return processorsOf(specification) + headroom <= processors && specification.memoryMegabytes <= memory && specification.accelerators <= accelerators
  }

  /** Returns the processors that are missing for a task of the step, in cores. */
  missingCores (step: Step, headroom: number): number {
    return Math.max(0, processorsOf(step.specification) + headroom - this.processors) / 1000
  }

  /** Returns the number of tasks of a victim on the worker. */
  countTasks (victim: Victim): number {
    let count = 0
    for (const task of victim.tasks) {
      if (task.worker === this.worker.identity) count += 1
    }
    return count
  }

  /** Victims on the worker, cheapest first; those that lose no unsaved work precede the others. */
  get victims (): readonly Victim[] {
    this.foundVictims ??= this.findVictims()
    return this.foundVictims
  }

  private findVictims (): Victim[] {
    const found = new Set<Victim>()
    for (const task of this.worker.runs.values()) {
      const victim = this.selector.victimOf(task)
      if (victim !== undefined) found.add(victim)
    }
    const costPerCore = (victim: Victim): number => victim.cost / Math.max(0.001, this.countTasks(victim) * coresOf(victim.step))
    return [...found].sort((left, right) => Number(left.unsaved > 0) - Number(right.unsaved > 0) || costPerCore(left) - costPerCore(right))
  }
}

function endsSoon (task: Task, worker: WorkerState, stopMilliseconds: number, now: number): boolean {
  return !task.step.specification.longRunning && remainingRunMilliseconds(task, worker, now) <= stopMilliseconds
}
