import { fileURLToPath } from 'node:url'
import { newId, pause, Site } from '../lib/site.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const EXECUTORS = 6
const JOBS = 55
const TASKS_PER_JOB = 60
/** Length of the cut between one of the six executors and all processes of the system; `node_cut` with `servers` in the site file: share 0.17, 5.5 s. */
const CUT_MS = 4500

const site = new Site({ routes: [{ name: 'r-settle', pathPrefix: '/settle/', priority: 2 }], recordPath: fileURLToPath(new URL('record.txt', import.meta.url)) })

/** The specification of a submission names the work of its shortest task, in milliseconds; those with a greater index take up to 3.5 s longer. */
const workMs = (task, spec) => Number(spec) + 58 * Number(task.split('.').at(-1))

async function run () {
  for (let index = 0; index < EXECUTORS; index += 1) await site.addExecutor({ machine: `m-${index}`, room: { millicpus: 64_000, memMb: 131_072, gpus: 0 }, labels: ['a', 'r1-1'], workMs, hasPath: true })
  await site.start(3)
  const ids = Array.from({ length: JOBS }, newId)
  const submittedAt = performance.now()
  for (const [index, id] of ids.entries()) {
    await pause(submittedAt + 100 * index - performance.now())
    const work = 16_000 - 100 * index
    const body = JSON.stringify({ spec: String(work), steps: [{ count: TASKS_PER_JOB, millicpus: 100, memMb: 100, estMs: work + 1700 }] })
    const { status } = await site.request(site.instances[index % 3], 'POST', `/settle/${id}`, body)
    if (status !== 200) throw new Error(`a submission was answered ${status}`)
  }
  site.note(`${JOBS} submissions of ${TASKS_PER_JOB} tasks are accepted`)
  // The first tasks end 16 s after the first submission.
  await pause(submittedAt + 15_900 - performance.now())
  site.note(`${site.executors.map(({ running }) => running.size).join(', ')} tasks run on the executors`)
  if (TROUBLE) {
    const busiest = site.executors.reduce((best, executor) => executor.running.size > best.running.size ? executor : best)
    site.note(`${busiest.id} is cut off for ${CUT_MS} ms and runs on`)
    busiest.path.cut()
    await pause(CUT_MS)
    busiest.path.heal()
    site.note('the cut is over')
  }
  const left = new Set(ids)
  const deadline = performance.now() + 50_000
  while (left.size > 0 && performance.now() < deadline) {
    for (const id of [...left]) {
      const { status, body } = await site.request(site.instances[0], 'GET', `/settle/${id}`)
      if (status === 200 && JSON.parse(body).state === 'completed') left.delete(id)
    }
    await pause(500)
  }
  site.note(`${JOBS - left.size} of ${JOBS} submissions are shown as completed`)
  await pause(2000)
  judge()
}

/**
 * TWICE: a start after a run has ended `done`, if that end is taken note of then or later, and the lease of its executor has not lapsed between;
 * or over a second after that end was taken note of.
 */
function judge () {
  const done = new Map()
  for (const entry of site.journal) {
    if (entry.kind === 'end' && entry.how === 'done' && !done.has(entry.task)) done.set(entry.task, entry)
  }
  const noted = new Map()
  for (const entry of site.journal) if (entry.kind === 'noted') noted.set(`${entry.executor} ${entry.number}`, entry.at)
  const broken = []
  for (const start of site.journal) {
    const end = done.get(start.task)
    if (start.kind !== 'start' || end === undefined || start.at <= end.at) continue
    const notedAt = noted.get(`${end.executor} ${end.number}`)
    if (notedAt === undefined || (notedAt < start.at && start.at < notedAt + 1000)) continue
    const hasLapsed = site.journal.some(entry => entry.kind === 'lapse' && entry.executor === end.executor && entry.at >= end.at && entry.at <= notedAt)
    if (!hasLapsed) broken.push({ start, end, notedAt })
  }
  for (const { start, end, notedAt } of broken.slice(0, 5)) site.note(`TWICE: ${start.task} run ${end.run} ended done on ${end.executor} at ${site.seconds(end.at)} as end ${end.number}, run ${start.run} began on ${start.executor} at ${site.seconds(start.at)}, the end was taken note of at ${site.seconds(notedAt)}`)
  const starts = site.journal.filter(({ kind }) => kind === 'start').length
  const lapses = site.journal.filter(({ kind }) => kind === 'lapse').length
  site.finish(broken.length > 0 ? 1 : 0, `${starts} starts of ${JOBS * TASKS_PER_JOB} tasks, ${lapses} lapses of leases; ${broken.length} starts after a run had ended done: the rule TWICE ${broken.length > 0 ? 'is broken' : 'held'}`)
}

run().catch(error => site.finish(2, `the case could not run: ${error.stack}`))
