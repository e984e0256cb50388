/** Programs that are ended and started again. */
import { type Program } from './program.ts'
import { type Site } from './site.ts'
import { pause } from './waiting.ts'

const CLAIM_POLL_MS = 50

/** Ends programs and starts them again; those that somebody else works on are left alone. */
export async function downAndUp (site: Site, names: readonly string[], signal: 'SIGTERM' | 'SIGKILL', downMs: number): Promise<void> {
  await Promise.all(claim(site, names).map(async (program) => {
    const end = site.journal.disturb(site.partOf(program.name), signal)
    await program.end(signal)
    await site.network.close(program.name)
    await pause(downMs)
    await upAgain(site, program)
    end()
  }))
}

/** Stops a program as planned and starts another build of it in its place; waits while somebody else works on it. */
export async function replace (site: Site, program: Program, file: string): Promise<void> {
  while (program.isBusy) await pause(CLAIM_POLL_MS)
  program.file = file
  await downAndUp(site, [program.name], 'SIGTERM', 0)
}

/** Returns those of some programs that nobody else works on; they are taken from now on. */
export function claim (site: Site, names: readonly string[]): Program[] {
  const programs = site.programs().filter(({ name, isBusy }) => names.includes(name) && !isBusy)
  for (const program of programs) program.isBusy = true
  return programs
}

export async function upAgain (site: Site, program: Program): Promise<void> {
  await site.network.reopen(program.name)
  site.run(program)
  program.isBusy = false
}
