import { cac } from 'cac'
import { CASES, REGRESSIONS, type SoakCase } from './cases.js'
import { soak } from './soak.js'

const MAXIMUM_SHOWN_PROBLEMS = 5

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(1))

async function run (cases: readonly SoakCase[], parallel: number): Promise<number[]> {
  const queue = [...cases]
  const failed: number[] = []
  const work = async (): Promise<void> => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const { problems, summary, directory } = await soak(next)
      console.log(`seed ${next.seed}, ${next.seconds} s: ${problems.length === 0 ? 'passed' : `FAILED, schedule and logs in ${directory}`}; ${summary}`)
      for (const problem of problems.slice(0, MAXIMUM_SHOWN_PROBLEMS)) console.log(`  ${problem}`)
      if (problems.length > 0) failed.push(next.seed)
    }
  }
  await Promise.all(Array.from({ length: parallel }, work))
  return failed
}

const tool = cac('soak')
tool.command('', 'run the built program as separate processes with injected faults')
  .option('--seed <seed>', 'seed of the first run', { default: 1 })
  .option('--runs <runs>', 'number of runs with consecutive seeds', { default: 1 })
  .option('--seconds <seconds>', 'period in which faults start, for each run', { default: 20 })
  .option('--parallel <number>', 'number of concurrent runs', { default: 1 })
  .option('--cases', 'run the cases of the test suite instead')
  .option('--regressions', 'run all seeds that once failed instead')
  .action(async ({ seed, runs, seconds, parallel, cases, regressions }: { seed: number, runs: number, seconds: number, parallel: number, cases?: boolean, regressions?: boolean }) => {
    const seeds = Array.from({ length: runs }, (_, index) => ({ seed: seed + index, seconds }))
    const chosen = cases === true ? CASES : regressions === true ? REGRESSIONS : seeds
    const failed = await run(chosen, parallel)
    console.log(failed.length === 0 ? `${chosen.length} runs passed` : `${failed.length} of ${chosen.length} runs failed, seeds ${failed.join(', ')}`)
    process.exit(failed.length === 0 ? 0 : 1)
  })
tool.help()
tool.parse()
