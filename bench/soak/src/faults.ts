/** The kinds of faults. Each comes from outside: signals to process ids, harmed links, lost disks, engines that misbehave. */
import { readdirSync, rmSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { type Callers } from './callers.ts'
import { crashAndReturn, sendCrashing, sendCrashingPart } from './crashing-requests.ts'
import { REGIONS } from './documents.ts'
import { type Behaviour, type Engine } from './engine.ts'
import { beat, tellGone, tellLeaving } from './heartbeats.ts'
import { CORE } from './journal.ts'
import { type Harm } from './network.ts'
import { type Operator } from './operator.ts'
import { replaceBuildBesideKill } from './replaced-builds.ts'
import { claim, downAndUp, upAgain } from './restarts.ts'
import { GRACE_MS, type Site } from './site.ts'
import { isFullyReplicated } from './standings.ts'
import { pause } from './waiting.ts'

export interface World { site: Site, callers: Callers, operator: Operator }

/** One fault of a plan; what it hits is drawn beforehand, so that a seed gives the same series again. */
export interface PlannedFault {
  atMs: number
  kind: FaultKind
  /** Names of gateways, control processes, engines and data centres, one of each drawn. */
  gateway: string
  control: string
  engine: string
  dataCentre: string
  durationMs: number
}

type Act = (world: World, fault: PlannedFault) => Promise<void>

/** Limits that engines name, in requests a second: less than they would get. */
const LIMITS = [0, 0.5, 1, 2]
const DELAY_MS = 150
const BURST = 3
const LINGER_MS = 6000
const COLD_MS = 3000
/** Without any engine of a service nothing else shows there. */
const MAX_TOGETHER_MS = 4000
/** A data centre that stays evacuated would spoil the rest of a run. */
const RETURN_TRIES = 4
const SERIES_KILLS = 3
const SERIES_GAP_MS = 1800
/** From the start of an engine until another one leaves, and from the acknowledgement of that until the kill, in ms. */
const BEFORE_LEAVE_MS = 150
const BEFORE_KILL_MS = 60
const LINGER_AFTER_KILL_MS = 9000
const STORM_CHANGES = 14
const STORM_GAP_MS = 60
const STORM_FREEZE_MS = { from: 2050, to: 2300 }

export const FAULTS = {
  'stop gateway': async ({ site }, { gateway, durationMs }) => await downAndUp(site, [gateway], 'SIGTERM', durationMs / 2),
  'kill gateway': async ({ site }, { gateway, durationMs }) => await downAndUp(site, [gateway], 'SIGKILL', durationMs / 2),
  'kill gateways in series': killInSeries,
  'stop all gateways': async ({ site }) => await downAndUp(site, [...site.gateways.keys()], 'SIGTERM', 0),
  'kill everything': async ({ site }) => await downAndUp(site, [...site.gateways.keys(), ...site.controls.keys()], 'SIGKILL', 0),
  'stop control': async ({ site }, { control, durationMs }) => await downAndUp(site, [control], 'SIGTERM', durationMs),
  'kill control': async ({ site }, { control, durationMs }) => await downAndUp(site, [control], 'SIGKILL', durationMs),
  'wipe control': wipe,
  'fill disk': fillDisk,
  'freeze gateway': async ({ site }, { gateway, durationMs }) => await freeze(site, gateway, durationMs),
  'freeze control': async ({ site }, { control, durationMs }) => await freeze(site, control, durationMs),
  'hang up gateway': async ({ site }, { gateway }) => { site.gateways.get(gateway)?.signal('SIGHUP') },
  'hang up control': async ({ site }, { control }) => { site.controls.get(control)?.signal('SIGHUP') },
  'cut gateway off': async ({ site }, { gateway, durationMs }) => await harm(site, [gateway], {
    from: (name) => name === gateway, to: (name) => site.controls.has(name), holdsThere: true, holdsBack: true
  }, durationMs),
  'cut control off': async ({ site }, { control, durationMs }) => await harm(site, [control], {
    from: (name) => name === control, to: () => true, holdsThere: true, holdsBack: true
  }, durationMs),
  'cut control one way': async ({ site }, { control, durationMs }) => await harm(site, [control], {
    from: () => true, to: (name) => name === control, holdsThere: true
  }, durationMs),
  'silence control': async ({ site }, { control, durationMs }) => await harm(site, [control], {
    from: () => true, to: (name) => name === control, holdsBack: true
  }, durationMs),
  'cut regions': cutRegions,
  'slow links': async ({ site }, { gateway, control, durationMs }) => await harm(site, [gateway, control], {
    from: (name) => name === gateway || name === control, to: () => true, delayMs: DELAY_MS
  }, durationMs),
  'reset links': async ({ site }, { gateway, control }) => {
    const ends = [gateway, control].map((name) => site.journal.disturb(site.partOf(name), 'reset'))
    site.network.reset(({ from, to }) => from === gateway || from === control || to === control)
    for (const end of ends) end()
  },
  'engine crashes': crash,
  'engine leaves': leave,
  'engine silent': async (world, fault) => await misbehave(world, fault, 'silent'),
  'engine slow': async (world, fault) => await misbehave(world, fault, 'slow'),
  'engine cuts answers': async (world, fault) => await misbehave(world, fault, 'cutting'),
  'engine refuses': async (world, fault) => await misbehave(world, fault, 'refusing'),
  'engine fails': async (world, fault) => await misbehave(world, fault, 'failing'),
  'engine forgets connections': async ({ site }, { engine }) => {
    const end = site.journal.disturb(engine, 'forgot connections')
    site.network.forgetIdle(engine)
    end()
  },
  evacuation: evacuate,
  'request crashes engines': async ({ site }, fault) => await sendCrashing(site, fault),
  'part crashes engines': async ({ site }, fault) => await sendCrashingPart(site, fault),
  'engine asks for rest': async (world, fault) => await misbehave(world, fault, 'resting'),
  'all engines ask for rest': restTogether,
  // Often for longer than the window in which retries are counted.
  'all engines shed': async (world, fault) => await misbehaveTogether(world, fault, 'shedding'),
  'engine leaves unheard': leaveUnheard,
  'engine leaves before a kill': leaveBeforeKill,
  'all engines reject twice': async (world, fault) => await misbehaveTogether(world, fault, 'rejecting twice'),
  'freeze control in a storm': freezeInStorm,
  'engine refuses after running': async (world, fault) => await misbehave(world, fault, 'refusing after running'),
  'all engines refuse after running': async (world, fault) => await misbehaveTogether(world, fault, 'refusing after running'),
  'engine sends bytes without end': async (world, fault) => await misbehave(world, fault, 'sending without end'),
  'engine names a limit': nameLimit,
  'build replaced beside a kill': replaceBuildBesideKill,
  burst: async ({ callers }, { durationMs }) => {
    callers.load *= BURST
    await pause(durationMs)
    callers.load /= BURST
  }
} satisfies Record<string, Act>

export type FaultKind = keyof typeof FAULTS

export async function inject (world: World, fault: PlannedFault): Promise<void> {
  const act: Act = FAULTS[fault.kind]
  await act(world, fault)
}

/** An engine leaves right after another one has started, and all processes are killed as soon as that is acknowledged; it serves on. */
async function leaveBeforeKill (world: World, { engine: name }: PlannedFault): Promise<void> {
  const { site } = world
  const engine = site.engineNamed(name)
  const other = site.engines.find(({ options, state }) => options.service === engine?.options.service && options.name !== name && state === 'ready')
  if (engine === undefined || engine.state !== 'ready' || other === undefined) return
  const end = site.journal.disturb(name, 'leaves before a kill')
  await crashAndReturn(site, other)
  await beat(site, other)
  await pause(BEFORE_LEAVE_MS)
  await tellGone(site, engine)
  await pause(BEFORE_KILL_MS)
  await downAndUp(site, [...site.gateways.keys(), ...site.controls.keys()], 'SIGKILL', 0)
  await pause(LINGER_AFTER_KILL_MS)
  await site.network.close(name)
  engine.stop()
  await comeBack(site, engine)
  end()
}

/** Control processes are frozen, each for about as long as the leader waits for two answers, while the document changes fast. */
async function freezeInStorm ({ site, operator }: World, { durationMs }: PlannedFault): Promise<void> {
  const end = site.journal.disturb(CORE, 'storm')
  for (const until = site.journal.now + durationMs; site.journal.now < until;) {
    const control = site.options.random.pick([...site.controls.keys()])
    const frozen = freeze(site, control, site.options.random.between(STORM_FREEZE_MS.from, STORM_FREEZE_MS.to))
    for (let change = 0; change < STORM_CHANGES; change += 1) await Promise.all([operator.change(), pause(STORM_GAP_MS)])
    await frozen
  }
  end()
}

/** Kills all gateways several times, each time soon after they have started. */
async function killInSeries ({ site }: World): Promise<void> {
  for (let kill = 0; kill < SERIES_KILLS; kill += 1) {
    await downAndUp(site, [...site.gateways.keys()], 'SIGKILL', 0)
    await pause(SERIES_GAP_MS)
  }
}

/** Only while all others have their disks: the programs bear the loss of one at once. */
async function wipe ({ site }: World, { control, durationMs }: PlannedFault): Promise<void> {
  if (!await isFullyReplicated(site)) return
  for (const program of claim(site, [control])) {
    const end = site.journal.disturb(CORE, 'wiped')
    await program.end('SIGKILL')
    await site.network.close(control)
    rmSync(site.dataFolder(control), { recursive: true })
    await pause(durationMs)
    await upAgain(site, program)
    end()
  }
}

/** No file of the process grows any more, as on a full disk. */
async function fillDisk ({ site }: World, { control, durationMs }: PlannedFault): Promise<void> {
  const program = site.controls.get(control)
  if (program === undefined || program.isBusy) return
  const folder = site.dataFolder(control)
  const sizes = readdirSync(folder).map((name) => statSync(join(folder, name)).size)
  const end = site.journal.disturb(CORE, 'full disk')
  await program.limitFiles(Math.max(0, ...sizes))
  await pause(durationMs)
  await program.limitFiles(undefined)
  end()
}

async function freeze (site: Site, name: string, durationMs: number): Promise<void> {
  for (const program of claim(site, [name])) {
    const end = site.journal.disturb(site.partOf(name), 'frozen')
    program.signal('SIGSTOP')
    await pause(durationMs)
    program.signal('SIGCONT')
    end()
    program.isBusy = false
  }
}

async function harm (site: Site, names: readonly string[], what: Harm, durationMs: number): Promise<void> {
  const ends = names.map((name) => site.journal.disturb(site.partOf(name), 'links harmed'))
  const heal = site.network.harm(what)
  await pause(durationMs)
  heal()
  for (const end of ends) end()
}

async function cutRegions ({ site }: World, { durationMs }: PlannedFault): Promise<void> {
  const regionOf = (name: string) => (REGIONS as Record<string, string>)[site.dataCentreOf(name)]
  const cut = ['north', 'south'].map((region) => site.network.harm({
    from: (name) => regionOf(name) === region, to: (name) => regionOf(name) !== region, holdsThere: true, holdsBack: true
  }))
  const ends = [...site.gateways.keys(), CORE].map((who) => site.journal.disturb(who, 'regions cut'))
  await pause(durationMs)
  for (const heal of cut) heal()
  for (const end of ends) end()
}

/** An engine dies without a word; another incarnation comes at its address. */
async function crash ({ site }: World, { engine: name, durationMs }: PlannedFault): Promise<void> {
  const engine = site.engineNamed(name)
  if (engine === undefined || engine.state !== 'ready') return
  const end = site.journal.disturb(name, 'crashed')
  engine.state = 'gone'
  await site.network.close(name)
  engine.stop()
  await pause(durationMs)
  await comeBack(site, engine)
  end()
}

/** An engine says that it leaves, goes on with what it has, and ends. */
async function leave ({ site }: World, { engine: name }: PlannedFault): Promise<void> {
  const engine = site.engineNamed(name)
  if (engine === undefined || engine.state !== 'ready') return
  const end = site.journal.disturb(name, 'leaves')
  await tellLeaving(site, engine)
  await pause(LINGER_MS)
  await tellGone(site, engine)
  await site.network.close(name)
  engine.stop()
  await comeBack(site, engine)
  end()
}

/** All engines of one service turn everything away and ask for rest, for a while. */
async function restTogether (world: World, fault: PlannedFault): Promise<void> {
  await misbehaveTogether(world, { ...fault, durationMs: Math.min(fault.durationMs, MAX_TOGETHER_MS) }, 'resting')
}

async function misbehaveTogether (world: World, fault: PlannedFault, behaviour: Behaviour): Promise<void> {
  const service = world.site.engineNamed(fault.engine)?.options.service
  const names = world.site.engines.map(({ options }) => options).filter((options) => options.service === service).map(({ name }) => name)
  await Promise.all(names.map(async (engine) => await misbehave(world, { ...fault, engine }, behaviour)))
}

/** An engine names a limit in its answers, then another one, and then none. */
async function nameLimit ({ site }: World, { engine: name, durationMs }: PlannedFault): Promise<void> {
  const engine = site.engineNamed(name)
  if (engine === undefined || engine.state !== 'ready') return
  const { incarnation } = engine
  const { journal } = site
  const end = journal.disturb(name, 'names a limit')
  for (const perSecond of [engine.options.random.pick(LIMITS), engine.options.random.pick(LIMITS)]) {
    const from = journal.now
    if (engine.incarnation === incarnation) engine.perSecond = perSecond
    await pause(durationMs / 2)
    journal.limits.push({ incarnation, perSecond, from, to: journal.now })
  }
  if (engine.incarnation === incarnation) engine.perSecond = undefined
  end()
}

/** An engine leaves while its heartbeats reach nobody: only its answers say so. */
async function leaveUnheard ({ site }: World, { engine: name }: PlannedFault): Promise<void> {
  const engine = site.engineNamed(name)
  if (engine === undefined || engine.state !== 'ready') return
  const end = site.journal.disturb(name, 'leaves unheard')
  engine.isUnheard = true
  engine.state = 'draining'
  await pause(LINGER_MS)
  engine.state = 'gone'
  await site.network.close(name)
  engine.stop()
  await comeBack(site, engine)
  end()
}

async function comeBack (site: Site, engine: Engine): Promise<void> {
  await engine.start(COLD_MS)
  await site.network.reopen(engine.options.name, engine.target)
}

async function misbehave ({ site }: World, { engine: name, durationMs }: PlannedFault, behaviour: Behaviour): Promise<void> {
  const engine = site.engineNamed(name)
  if (engine === undefined) return
  const { incarnation } = engine
  const end = site.journal.disturb(name, behaviour)
  engine.behaviour = behaviour
  await pause(durationMs)
  if (engine.incarnation === incarnation) engine.behaviour = 'well'
  end()
}

async function evacuate ({ operator }: World, { dataCentre, durationMs }: PlannedFault): Promise<void> {
  if (!await operator.evacuate(dataCentre, 'evacuate')) return
  await pause(GRACE_MS + durationMs)
  for (let tries = 0; tries < RETURN_TRIES && !operator.isTakenBack(dataCentre); tries++) await operator.evacuate(dataCentre, 'return')
}
