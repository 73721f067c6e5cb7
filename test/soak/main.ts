import { cac } from 'cac'
import { CASES, REGRESSIONS, type SoakCase } from './cases.js'
import { soak } from './soak.js'

const SHOWN_PROBLEMS = 5

for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(1))

async function run (cases: readonly SoakCase[], parallel: number): Promise<number[]> {
  const waiting = [...cases]
  const failed: number[] = []
  const work = async (): Promise<void> => {
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      const { problems, summary, directory } = await soak(next)
      console.log(`seed ${next.seed}, ${next.seconds} s: ${problems.length === 0 ? 'passed' : `FAILED, schedule and logs in ${directory}`}; ${summary}`)
      for (const problem of problems.slice(0, SHOWN_PROBLEMS)) console.log(`  ${problem}`)
      if (problems.length > 0) failed.push(next.seed)
    }
  }
  await Promise.all(Array.from({ length: parallel }, work))
  return failed
}

const tool = cac('soak')
tool.command('', 'run the built program as separate processes with faults')
  .option('--seed <seed>', 'seed of the first run', { default: 1 })
  .option('--runs <runs>', 'number of runs, one seed after the other', { default: 1 })
  .option('--seconds <seconds>', 'time in which faults begin, for each run', { default: 20 })
  .option('--parallel <number>', 'runs at a time', { default: 1 })
  .option('--cases', 'the runs of the tests instead')
  .option('--regressions', 'all seeds that failed instead')
  .action(async ({ seed, runs, seconds, parallel, cases, regressions }: { seed: number, runs: number, seconds: number, parallel: number, cases?: boolean, regressions?: boolean }) => {
    const seeds = Array.from({ length: runs }, (_, index) => ({ seed: seed + index, seconds }))
    const chosen = cases === true ? CASES : regressions === true ? REGRESSIONS : seeds
    const failed = await run(chosen, parallel)
    console.log(failed.length === 0 ? `${chosen.length} runs passed` : `${failed.length} of ${chosen.length} runs failed, seeds ${failed.join(', ')}`)
    process.exit(failed.length === 0 ? 0 : 1)
  })
tool.help()
tool.parse()
