import { fitsWithin, type Resources } from '../contracts/resources.js'
import type { WorkerEntry } from './workerEntry.js'

/** Classes of free accelerators; workers with more share the last class. */
const ACCELERATOR_CLASSES = 17
/** Classes of free processors and memory: four for each doubling, so that workers of one class differ by less than a fifth. */
const CLASSES_PER_DOUBLING = 4
const PROCESSOR_CLASSES = 96
const MEMORY_CLASSES = 96
/** Number of 32-bit words for the memory classes of one row. */
const WORDS_PER_ROW = MEMORY_CLASSES / 32
const MEMORY_UNIT_BYTES = 2 ** 20
/** Number of fitting workers that are compared before the best of them is chosen. */
const CANDIDATES_TO_COMPARE = 8
/** Workers of one cell that are tried before the search moves on; the rest of the cell is tried only if nothing else fits. */
const TRIES_PER_CELL = 32

/** Index of workers by classes of free accelerators (layers), processors (rows) and memory (columns). Updating a worker takes constant time. */
export class WorkerIndex {
  private readonly cells: Array<WorkerEntry[] | undefined> = Array.from({ length: ACCELERATOR_CLASSES * PROCESSOR_CLASSES * MEMORY_CLASSES })
  /** Bitmap of the memory classes that contain workers, by accelerator and processor class. */
  private readonly occupied = new Uint32Array(ACCELERATOR_CLASSES * PROCESSOR_CLASSES * WORDS_PER_ROW)
  /** Number of workers by accelerator and processor class. */
  private readonly rowCounts = new Uint32Array(ACCELERATOR_CLASSES * PROCESSOR_CLASSES)
  private readonly layerCounts = new Uint32Array(ACCELERATOR_CLASSES)

  /** Moves a worker to the cell of its free resources, or removes it if it is not `schedulable`. */
  update (entry: WorkerEntry, schedulable: boolean): void {
    const cell = schedulable ? cellOf(entry.worker.free) : -1
    if (cell === entry.indexCell) return
    if (entry.indexCell >= 0) this.remove(entry)
    if (cell >= 0) this.insert(entry, cell)
  }

  /** Returns an accepted worker that fits the demand with little left over, or undefined if there is none. */
  choose (demand: Resources, accept: (entry: WorkerEntry) => boolean): WorkerEntry | undefined {
    const search = new BestFitSearch(demand, accept)
    const skipped: WorkerEntry[][] = []
    const firstProcessorClass = processorClass(demand.processorsThousandths)
    const firstMemoryClass = memoryClass(demand.memoryBytes)
    for (let layer = Math.min(demand.accelerators, ACCELERATOR_CLASSES - 1); layer < ACCELERATOR_CLASSES; layer += 1) {
      if (this.layerCounts[layer] === 0) continue
      for (let row = firstProcessorClass; row < PROCESSOR_CLASSES; row += 1) {
        const rowIndex = layer * PROCESSOR_CLASSES + row
        if (this.rowCounts[rowIndex] === 0) continue
        for (let column = this.nextColumn(rowIndex, firstMemoryClass); column >= 0; column = this.nextColumn(rowIndex, column + 1)) {
          const workers = this.cells[rowIndex * MEMORY_CLASSES + column] as WorkerEntry[]
          if (search.tryWorkers(workers, TRIES_PER_CELL)) skipped.push(workers)
          if (search.fittingCount >= CANDIDATES_TO_COMPARE) return search.best
        }
      }
      if (search.best !== undefined) return search.best
    }
    for (const workers of skipped) {
      search.tryWorkers(workers, Infinity)
      if (search.best !== undefined) return search.best
    }
    return undefined
  }

  /** Returns the next memory class of a row that contains workers, or -1. */
  private nextColumn (row: number, from: number): number {
    for (let word = from >> 5; word < WORDS_PER_ROW; word += 1) {
      const bits = (this.occupied[row * WORDS_PER_ROW + word] as number) & (word === from >> 5 ? -1 << (from & 31) : -1)
      if (bits !== 0) return (word << 5) + 31 - Math.clz32(bits & -bits)
    }
    return -1
  }

  private insert (entry: WorkerEntry, cell: number): void {
    const workers = this.cells[cell] ?? []
    this.cells[cell] = workers
    if (workers.length === 0) this.toggleOccupied(cell)
    entry.indexCell = cell
    entry.indexPosition = workers.length
    workers.push(entry)
    this.adjustCounts(cell, 1)
  }

  private remove (entry: WorkerEntry): void {
    const workers = this.cells[entry.indexCell] as WorkerEntry[]
    const last = workers.pop() as WorkerEntry
    if (last !== entry) {
      workers[entry.indexPosition] = last
      last.indexPosition = entry.indexPosition
    }
    if (workers.length === 0) this.toggleOccupied(entry.indexCell)
    this.adjustCounts(entry.indexCell, -1)
    entry.indexCell = -1
  }

  private toggleOccupied (cell: number): void {
    const column = cell % MEMORY_CLASSES
    const word = Math.floor(cell / MEMORY_CLASSES) * WORDS_PER_ROW + (column >> 5)
    this.occupied[word] = (this.occupied[word] as number) ^ (1 << (column & 31))
  }

  private adjustCounts (cell: number, change: 1 | -1): void {
    const row = Math.floor(cell / MEMORY_CLASSES)
    const layer = Math.floor(row / PROCESSOR_CLASSES)
    this.rowCounts[row] = (this.rowCounts[row] as number) + change
    this.layerCounts[layer] = (this.layerCounts[layer] as number) + change
  }
}

/** Tracks the best of the workers tried so far. */
class BestFitSearch {
  best: WorkerEntry | undefined
  fittingCount = 0
  private bestScore = Infinity

  constructor (private readonly demand: Resources, private readonly accept: (entry: WorkerEntry) => boolean) {}

  /** Tries at most `limit` workers; returns whether some were skipped. */
  tryWorkers (workers: readonly WorkerEntry[], limit: number): boolean {
    const count = Math.min(workers.length, limit)
    for (let index = 0; index < count; index += 1) {
      const entry = workers[index] as WorkerEntry
      if (!fitsWithin(this.demand, entry.worker.free) || !this.accept(entry)) continue
      this.fittingCount += 1
      const score = leftoverScore(this.demand, entry)
      if (score < this.bestScore) {
        this.best = entry
        this.bestScore = score
      }
      if (this.fittingCount >= CANDIDATES_TO_COMPARE) return false
    }
    return count < workers.length
  }
}

/** Returns the share of a worker that a demand leaves free; unneeded accelerators have the greatest weight. */
export function leftoverScore (demand: Resources, entry: WorkerEntry): number {
  const { free, description: { capacity } } = entry.worker
  const processors = (free.processorsThousandths - demand.processorsThousandths) / Math.max(1, capacity.processorsThousandths)
  const memory = (free.memoryBytes - demand.memoryBytes) / Math.max(1, capacity.memoryBytes)
  return processors + memory + 2 * (free.accelerators - demand.accelerators)
}

function cellOf (free: Resources): number {
  if (free.processorsThousandths < 0 || free.memoryBytes < 0 || free.accelerators < 0) return -1
  const layer = Math.min(free.accelerators, ACCELERATOR_CLASSES - 1)
  return (layer * PROCESSOR_CLASSES + processorClass(free.processorsThousandths)) * MEMORY_CLASSES + memoryClass(free.memoryBytes)
}

function processorClass (thousandths: number): number {
  return thousandths < 1 ? 0 : Math.min(PROCESSOR_CLASSES - 1, 1 + Math.floor(Math.log2(thousandths) * CLASSES_PER_DOUBLING))
}

function memoryClass (bytes: number): number {
  return bytes < MEMORY_UNIT_BYTES ? 0 : Math.min(MEMORY_CLASSES - 1, 1 + Math.floor(Math.log2(bytes / MEMORY_UNIT_BYTES) * CLASSES_PER_DOUBLING))
}
