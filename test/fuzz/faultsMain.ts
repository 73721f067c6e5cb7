import { cac } from 'cac'
import { PLANTED_FAULTS } from './faults.js'
import { fuzz } from './fuzzer.js'

const tool = cac('fuzz:faults')
tool.command('', 'fuzz with each planted fault and say whether it is found')
  .option('--fault <number>', 'only this fault of the table, from 0')
  .option('--seed <seed>', 'seed in place of that of the table')
  .option('--runs <runs>', 'number of traces in place of that of the table')
  .action(async (given: { fault?: number, seed?: number, runs?: number }) => {
    const chosen = given.fault === undefined ? PLANTED_FAULTS : PLANTED_FAULTS.slice(given.fault, given.fault + 1)
    for (const { name, checks, options, ...planned } of chosen) {
      const { seed = planned.seed, runs = planned.runs } = given
      const failure = await fuzz({ seed, runs, shrink: false, ...options })
      const expected = failure !== undefined && checks.some(check => failure.problem.startsWith(check))
      const verdict = failure === undefined ? `not found in ${runs} runs` : `${expected ? 'found' : 'found by another check'} in run ${failure.runs}: ${failure.problem}`
      console.log(`${name}: seed ${seed}, ${verdict}`)
      if (!expected) process.exitCode = 1
    }
  })
tool.help()
tool.parse()
