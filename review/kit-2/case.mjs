/**
 * Runs a case: sets up its deployment, judges it by its exit code, and ends all that it started. The code of a broken rule is none that the
 * runtime uses for an error of its own; `run.sh` makes it 1, and every other failure 2.
 */
import { join } from 'node:path'
import { Deployment } from './deployment.mjs'
import { Record } from './record.mjs'

const HELD = 0
const BROKEN = 10
const COULD_NOT_RUN = 2
const MAX_MS = 110_000

/**
 * Runs a case in its folder. `play` gets the deployment and whether the disruption takes place, and returns what breaks the rule, or
 * undefined if nothing does; it throws where the case can't run.
 */
export async function runCase (folder, options, play) {
  const record = new Record(join(folder, 'record.txt'))
  const deployment = new Deployment(record, options)
  const runners = []
  const hasTrouble = process.env.TROUBLE !== '0'
  record.note(`disruption: ${hasTrouble ? 'yes' : 'no'}`)
  const end = async (code, text) => {
    record.note(text)
    console.log(text)
    await Promise.all(runners.map((runner) => runner.stop()))
    await deployment.stop()
    process.exit(code)
  }
  for (const event of ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT']) {
    process.once(event, (reason) => { void end(COULD_NOT_RUN, `could not run: ${event}: ${reason?.stack ?? reason}`) })
  }
  const isLate = new Promise((_resolve, reject) => setTimeout(() => reject(new Error('the case takes too long')), MAX_MS))
  try {
    const breach = await Promise.race([isLate, play({ deployment, record, runners, hasTrouble })])
    await end(breach === undefined ? HELD : BROKEN, breach === undefined ? 'held' : `broken: ${breach}`)
  } catch (error) {
    await end(COULD_NOT_RUN, `could not run: ${error.stack}`)
  }
}

/** Waits until a condition holds. */
export async function until (what, condition, timeoutMs = 10_000) {
  for (const endsAt = performance.now() + timeoutMs; !condition();) {
    if (performance.now() > endsAt) throw new Error(`waited in vain until ${what}`)
    await new Promise((resolve) => setTimeout(resolve, 10))
  }
}
