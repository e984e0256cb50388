/** Replaces the programs of a running deployment, one process after the other, by another build, and back. */
import { type BuiltPrograms } from './build.ts'
import { replace } from './restarts.ts'
import { type Program } from './program.ts'
import { type Random } from './random.ts'
import { type Site } from './site.ts'
import { pause } from './waiting.ts'

/** In which order processes are replaced. */
export type UpgradeOrder = 'control first' | 'gateways first' | 'mixed'
export const UPGRADE_ORDERS: readonly UpgradeOrder[] = ['control first', 'gateways first', 'mixed']

export interface UpgradeOptions {
  site: Site
  random: Random
  from: BuiltPrograms
  to: BuiltPrograms
  /** The time in which all are replaced, in ms; a quarter of it is a stop half way. */
  durationMs: number
  /** Whether the first half goes back to the earlier build during the stop, and is replaced again. */
  rollsBack: boolean
  tell: (line: string) => void
}

/** Resolves once every process runs the later build. */
export async function upgrade ({ site, random, from, to, durationMs, rollsBack, tell }: UpgradeOptions): Promise<void> {
  const order = random.pick(UPGRADE_ORDERS)
  const programs = inOrder(site, random, order)
  const half = programs.slice(0, Math.ceil(programs.length / 2))
  const steps = programs.length + (rollsBack ? 2 * half.length : 0)
  const spacingMs = 0.75 * durationMs / steps
  const putAll = async (changed: readonly Program[], build: BuiltPrograms, what: string): Promise<void> => {
    for (const program of changed) {
      tell(`${program.name} ${what}`)
      await replace(site, program, site.controls.has(program.name) ? build.control : build.gateway)
      await pause(spacingMs)
    }
  }
  tell(`upgrade, ${order}${rollsBack ? ', with a rollback half way' : ''}`)
  await putAll(half, to, 'gets the later build')
  await pause(durationMs / 4)
  if (rollsBack) {
    await putAll([...half].reverse(), from, 'goes back')
    await putAll(half, to, 'gets the later build again')
  }
  await putAll(programs.slice(half.length), to, 'gets the later build')
}

function inOrder (site: Site, random: Random, order: UpgradeOrder): Program[] {
  const controls = [...site.controls.values()]
  const gateways = [...site.gateways.values()]
  if (order === 'control first') return [...controls, ...gateways]
  if (order === 'gateways first') return [...gateways, ...controls]
  const all = [...controls, ...gateways]
  return random.some(all, all.length)
}
