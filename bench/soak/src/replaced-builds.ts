/** Engines that are replaced by another build while gateways are killed. */
import { BUILDS } from './answers.ts'
import { type Engine } from './engine.ts'
import { type PlannedFault, type World } from './faults.ts'
import { beat, tellGone } from './heartbeats.ts'
import { downAndUp } from './restarts.ts'
import { type Site } from './site.ts'
import { pause } from './waiting.ts'

/** Engines of another build come before, while or after the gateways are killed, by up to so long either way, in ms. */
const REPLACED_MS = 2000
const GATEWAYS_DOWN_MS = { from: 300, to: 3000 }

/** All engines of one service are replaced by another build, and all gateways are killed at once at about that time. */
export async function replaceBuildBesideKill ({ site }: World, { engine: name }: PlannedFault): Promise<void> {
  const service = site.engineNamed(name)?.options.service
  const engines = site.engines.filter(({ options, state }) => options.service === service && state === 'ready')
  const { random } = site.options
  const build = random.pick(BUILDS.filter((other) => other !== engines[0]?.build))
  const ends = engines.map(({ options }) => site.journal.disturb(options.name, 'replaced by another build'))
  const lead = random.between(-REPLACED_MS, REPLACED_MS)
  const downMs = random.between(GATEWAYS_DOWN_MS.from, GATEWAYS_DOWN_MS.to)
  await Promise.all([
    pause(Math.max(0, lead)).then(async () => await downAndUp(site, [...site.gateways.keys()], 'SIGKILL', downMs)),
    pause(Math.max(0, -lead)).then(async () => await Promise.all(engines.map(async (engine) => await replaceEngine(site, engine, build))))
  ])
  for (const end of ends) end()
}

/** An engine leaves at once, and one of another build starts in its place. */
async function replaceEngine (site: Site, engine: Engine, build: string): Promise<void> {
  await tellGone(site, engine)
  await site.network.close(engine.options.name)
  engine.stop()
  await engine.start(0, build)
  await site.network.reopen(engine.options.name, engine.target)
  await beat(site, engine)
}
