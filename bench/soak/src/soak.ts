/** One run: starts a deployment, injects the faults of a plan, checks while it goes on, and gives a verdict. */
import { setTimeout as sleep } from 'node:timers/promises'
import { messageOf } from '@gullwall/core.error'
import { buildPrograms } from './build.ts'
import { Callers } from './callers.ts'
import { type Bounds, BOUNDS, checksFor, RECOVER_MS, runChecks, type Violation } from './checks/index.ts'
import { REGIONS } from './documents.ts'
import { type FaultKind, inject, type PlannedFault, type World } from './faults.ts'
import { watchMemory } from './memory.ts'
import { type Mutation } from './mutations.ts'
import { buildOld } from './old-build.ts'
import { Operator } from './operator.ts'
import { planFaults } from './plan.ts'
import { Random } from './random.ts'
import { Site } from './site.ts'
import { readStandings } from './standings.ts'
import { upgrade, type UpgradeOptions } from './upgrade.ts'
import { until } from './waiting.ts'

export interface SoakOptions {
  seed: number
  /** How long faults are injected, in ms. */
  durationMs: number
  /** Gateways and control processes together. */
  processes: number
  /** Kinds of faults to draw from; all where none are given. */
  kinds?: readonly FaultKind[]
  mutation?: Mutation
  /** Multiplies the times that the rules allow, for a machine that does other work. */
  slack?: number
  /** Whether to wait after the last fault until all should be well again, and to check that; so by default. */
  waitsForRecovery?: boolean
  /** The commit whose programs run at first; they are replaced by those of this checkout meanwhile. */
  from?: string | undefined
  /** Ends with the first broken rule of this check. */
  stopAt?: string
  tell?: (line: string) => void
}

export interface Verdict {
  violations: Violation[]
  plan: PlannedFault[]
  attempts: number
  served: number
  /** How the attempts ended: by status, or why there was no answer. */
  outcomes: Record<string, number>
  /** What was really done; a fault is left out where its process is being started, or a disk may not be lost yet. */
  done: Record<string, number>
  /** How requests that take a stream up ended, by how they name it. */
  takeUps: Record<string, number>
  runs: number
  orders: number
  /** Requests that engines refused after they had run them, by status, and bytes without end, by their place. */
  misconduct: Record<string, number>
  /** The most memory that a gateway has held. */
  peakBytes: number
  /** Where logs and disks are kept if a rule was broken. */
  folder: string
}

/** Whether the programs hold the rules for cold engines and for regions. */
const FEATURES = { cold: true, regions: true }
const CHECK_MS = 4000
/** So many upgrades go back half way before they go on. */
const ROLLBACK_SHARE = 0.5
const MIN_CONTROLS = 3
const MANY_PROCESSES = 9
const MANY_CONTROLS = 5
/** What is served after all has healed is counted for so long, in ms. */
const LAST_MS = 5000
const READ_MS = 15_000
/** Many processes that start at once on a machine that does other work take their time, in ms. */
const FIRST_DOCUMENT_MS = 45_000
const SECOND_MS = 1000

/** @throws ERR_GULLWALL_SOAK if the deployment does not come up at all */
export async function soak (options: SoakOptions): Promise<Verdict> {
  const controls = options.processes >= MANY_PROCESSES ? MANY_CONTROLS : MIN_CONTROLS
  const site = new Site({
    random: new Random(options.seed + 1),
    // Programs of an earlier build join the streams of all builds.
    hasBuilds: options.from === undefined,
    controls,
    gateways: Math.max(2, options.processes - controls)
  })
  const run = new SoakRun(site, options)
  try {
    const to = await buildPrograms(site.folder, { mutation: options.mutation })
    const from = options.from === undefined ? undefined : await buildOld(options.from, site.folder)
    await site.start(from ?? to)
    const verdict = await run.play(from === undefined ? undefined : { from, to })
    if (verdict.violations.length === 0) site.removeFolder()
    return verdict
  } catch (error) {
    options.tell?.(`logs and disks: ${site.folder}`)
    throw error
  } finally {
    await site.stop()
  }
}

class SoakRun {
  readonly violations: Violation[] = []
  private readonly broken = new Set<string>()
  private readonly callers: Callers
  private readonly operator: Operator
  private readonly acting: Promise<void>[] = []

  constructor (private readonly site: Site, private readonly options: SoakOptions) {
    this.callers = new Callers(site)
    this.operator = new Operator(site, (versions) => { this.callers.versions = versions })
  }

  async play (builds?: Pick<UpgradeOptions, 'from' | 'to'>): Promise<Verdict> {
    const { site, operator, callers, options } = this
    await until('the first document', FIRST_DOCUMENT_MS, async () => (await operator.change()).ackedAt !== undefined)
    await site.settled()
    const plan = this.plan()
    operator.start()
    callers.start()
    const stopWatching = watchMemory(site)
    if (builds !== undefined) this.acting.push(this.upgrade(builds))
    await this.injectAll(plan)
    const healedAt = options.waitsForRecovery === false ? undefined : site.journal.now
    if (healedAt !== undefined) {
      await this.checkUntil(healedAt + RECOVER_MS + LAST_MS)
      site.journal.standings.push(...await readStandings(site))
    }
    await operator.stop()
    await callers.stop()
    stopWatching()
    await this.readAtLast()
    this.check(true, healedAt)
    this.tell(`seed ${options.seed}: ${this.violations.length} broken`)
    return this.verdict(plan)
  }

  private async upgrade (builds: Pick<UpgradeOptions, 'from' | 'to'>): Promise<void> {
    const { site, options: { seed, durationMs } } = this
    const random = new Random(seed + 2)
    await upgrade({
      ...builds, site, random, durationMs, rollsBack: random.chance(ROLLBACK_SHARE), tell: (line) => this.tell(`${seconds(site.journal.now)} ${line}`)
    })
  }

  private plan (): PlannedFault[] {
    const { site, options } = this
    return planFaults({
      random: new Random(options.seed),
      durationMs: options.durationMs,
      gateways: [...site.gateways.keys()],
      controls: [...site.controls.keys()],
      engines: site.engines.map(({ options: { name } }) => name),
      dataCentres: Object.keys(REGIONS),
      kinds: options.kinds
    })
  }

  /** Injects each fault at its time, and waits until the last one has ended. */
  private async injectAll (plan: readonly PlannedFault[]): Promise<void> {
    const { journal } = this.site
    const startedAt = journal.now
    for (const fault of plan) {
      await this.checkUntil(startedAt + fault.atMs)
      if (this.isDecided) break
      this.tell(`${seconds(journal.now)} ${fault.kind} (${fault.gateway}, ${fault.control}, ${fault.engine}, ${seconds(fault.durationMs)})`)
      const world: World = { site: this.site, callers: this.callers, operator: this.operator }
      this.acting.push(inject(world, fault))
    }
    if (!this.isDecided) await this.checkUntil(startedAt + this.options.durationMs)
    await Promise.all(this.acting)
  }

  private get isDecided (): boolean {
    return this.options.stopAt !== undefined && this.violations.some(({ check }) => check === this.options.stopAt)
  }

  /** Checks from time to time until a time of the run. */
  private async checkUntil (at: number): Promise<void> {
    const { journal } = this.site
    while (journal.now < at && !this.isDecided) {
      await sleep(Math.min(CHECK_MS, Math.max(0, at - journal.now)))
      if (at - journal.now > CHECK_MS) this.check(false)
    }
  }

  private check (isOver: boolean, healedAt?: number): void {
    const { journal } = this.site
    const slack = this.options.slack ?? 1
    const bounds = Object.fromEntries(Object.entries(BOUNDS).map(([name, ms]) => [name, ms * slack])) as unknown as Bounds
    for (const violation of runChecks(checksFor(FEATURES), { journal, bounds, isOver, healedAt })) {
      const id = `${violation.check} ${violation.subject}`
      if (this.broken.has(id)) continue
      this.broken.add(id)
      this.violations.push(violation)
      this.tell(`BROKEN ${violation.check} at ${seconds(violation.at)}: ${violation.subject}: ${violation.what}`)
    }
  }

  /** Reads the document back until somebody is sure of it. */
  private async readAtLast (): Promise<void> {
    const { operator, site } = this
    const ask = async () => {
      for (const control of site.controls.keys()) {
        if (await operator.read(control) !== undefined) return true
      }
      return false
    }
    await until('the document to be read back', READ_MS, ask).catch((error) => {
      this.violations.push({ check: 'recover', at: site.journal.now, subject: 'reading', what: messageOf(error) })
    })
  }

  private verdict (plan: PlannedFault[]): Verdict {
    const { attempts, runs, orders, disturbances, floods, peakBytes } = this.site.journal
    const served = attempts.filter(({ status, isWhole }) => status === 200 && isWhole === true).length
    return {
      violations: this.violations,
      plan,
      attempts: attempts.length,
      served,
      outcomes: countOf(attempts.map(({ status, failure }) => String(failure ?? status))),
      done: countOf(disturbances.map(({ what }) => what.replace(/ for \d+ ms/, ''))),
      takeUps: countOf(attempts.filter(({ after }) => after > 0).map(({ naming, status, failure }) => `${naming} ${failure ?? status}`)),
      runs: runs.length,
      orders: orders.length,
      misconduct: countOf([
        ...runs.flatMap(({ refusedWith }) => refusedWith === undefined ? [] : [`${refusedWith} after a run`]),
        ...floods.map(({ place }) => `without end: ${place}`)
      ]),
      peakBytes: Math.max(0, ...peakBytes.values()),
      folder: this.site.folder
    }
  }

  private tell (line: string): void {
    this.options.tell?.(line)
  }
}

function countOf (names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}

function seconds (ms: number): string {
  return `${(ms / SECOND_MS).toFixed(1)} s`
}
