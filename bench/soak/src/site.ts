/** A deployment on this machine: real gateways and control processes behind proxies, and stand-in engines. */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { freeAddress, freeAddresses } from '@gullwall/bench.deployment'
import { type BuiltPrograms } from './build.ts'
import { crashAndReturn } from './crashing-requests.ts'
import { COLD, REGIONS, RETRIES } from './documents.ts'
import { Engine } from './engine.ts'
import { Heartbeats } from './heartbeats.ts'
import { ALL, CORE, Journal } from './journal.ts'
import { Network } from './network.ts'
import { Program } from './program.ts'
import { type Random } from './random.ts'
import { isReady, until } from './waiting.ts'

export interface SiteOptions {
  random: Random
  gateways: number
  controls: number
  /** Whether engines run several builds. */
  hasBuilds: boolean
}

interface Place { listen: string, dataCentre: string }

const LINK_KEY = 'a-shared-key-for-loopback'
export const OPERATOR_TOKEN = 'an-operator-token-for-loopback'
/** How long a planned stop of a gateway may take, in ms. */
export const GRACE_MS = 8000
const START_MS = 20_000
const DATA_CENTRES = Object.keys(REGIONS)
const MODELS_IN_EACH = 2
/** The disks that may be lost at once. */
const TOLERANCE = 1
/** A loop of this process that was held for so long makes what it has seen untrustworthy, in ms. */
const HELD_MS = 250
const LOOK_MS = 50

export class Site {
  readonly journal = new Journal()
  readonly network = new Network()
  readonly folder = mkdtempSync(join(tmpdir(), 'gullwall-soak-'))
  readonly gateways = new Map<string, Program>()
  readonly controls = new Map<string, Program>()
  readonly engines: Engine[] = []
  readonly places = new Map<string, Place>()
  /** Where a balancer would ask whether a gateway takes connections. */
  readonly readiness = new Map<string, string>()
  private heartbeats: Heartbeats | undefined
  private readonly members: Record<string, string> = {}
  private timer: NodeJS.Timeout | undefined

  constructor (readonly options: SiteOptions) {}

  async start (programs: BuiltPrograms): Promise<void> {
    await this.openControls(programs.control)
    await this.openGateways(programs.gateway)
    await this.openEngines()
    for (const program of this.programs()) this.run(program)
    this.heartbeats = new Heartbeats(this)
    this.heartbeats.start()
    this.watchOwnLoop()
  }

  /** Waits until every gateway takes requests. */
  async settled (): Promise<void> {
    for (const [name, address] of this.readiness) await until(`gateway ${name}`, START_MS, async () => await isReady(address))
  }

  /** Ends every process that was started here. */
  async stop (): Promise<void> {
    clearInterval(this.timer)
    this.heartbeats?.stop()
    await Promise.all(this.programs().map(async (program) => await program.end('SIGKILL')))
    for (const engine of this.engines) engine.stop()
    await this.network.stop()
  }

  removeFolder (): void {
    rmSync(this.folder, { recursive: true, force: true })
  }

  programs (): Program[] {
    return [...this.controls.values(), ...this.gateways.values()]
  }

  /** Starts a program, also again. */
  run (program: Program): void {
    program.start()
    this.network.pids.set(program.name, program.pid)
  }

  /** As whom a process counts for the checks: one control process disturbs what all depend on. */
  partOf (name: string): string {
    return this.controls.has(name) ? CORE : name
  }

  dataFolder (control: string): string {
    return join(this.folder, `data-${control}`)
  }

  /** The address of a control process for operators and engines, past its proxy. */
  controlAddress (name: string): string {
    return this.places.get(name)?.listen ?? ''
  }

  engineNamed (name: string): Engine | undefined {
    return this.engines.find(({ options }) => options.name === name)
  }

  dataCentreOf (name: string): string {
    return this.engineNamed(name)?.options.dataCentre ?? this.places.get(name)?.dataCentre ?? ''
  }

  private async openControls (file: string): Promise<void> {
    const names = Array.from({ length: this.options.controls }, (_, index) => `control-${index + 1}`)
    for (const name of names) this.members[name] = await freeAddress()
    for (const [index, name] of names.entries()) {
      const [listen = '', admin = ''] = await freeAddresses(2)
      const dataCentre = dataCentreAt(index)
      await this.network.open(name, this.members[name] ?? '', listen)
      this.places.set(name, { listen, dataCentre })
      mkdirSync(this.dataFolder(name))
      const settings = {
        ...processSettings(name, dataCentre, listen, admin),
        member: name,
        members: this.members,
        dataFolder: this.dataFolder(name),
        tolerance: TOLERANCE,
        operatorToken: OPERATOR_TOKEN,
        cold: { overrun: COLD.overrun, slack: COLD.slack }
      }
      this.controls.set(name, this.program(name, file, settings))
    }
  }

  private async openGateways (file: string): Promise<void> {
    for (let index = 0; index < this.options.gateways; index++) {
      const name = `gateway-${index + 1}`
      const [listen = '', admin = '', readiness = ''] = await freeAddresses(3)
      const dataCentre = dataCentreAt(index)
      this.places.set(name, { listen, dataCentre })
      this.readiness.set(name, readiness)
      const settings = {
        ...processSettings(name, dataCentre, listen, admin),
        readiness,
        seeds: Object.values(this.members),
        graceMs: GRACE_MS,
        retryRatio: RETRIES.ratio,
        retryWindowMs: RETRIES.windowMs,
        retrySlack: RETRIES.slack
      }
      this.gateways.set(name, this.program(name, file, settings))
    }
  }

  private async openEngines (): Promise<void> {
    for (const dataCentre of DATA_CENTRES) {
      for (let index = 1; index <= MODELS_IN_EACH; index++) await this.openEngine(`model-${index}-${dataCentre}`, 'model', dataCentre)
      await this.openEngine(`desk-${dataCentre}`, 'desk', dataCentre)
    }
  }

  private async openEngine (name: string, service: string, dataCentre: string): Promise<void> {
    const address = await freeAddress()
    const engine = new Engine({
      name,
      service,
      dataCentre,
      address,
      journal: this.journal,
      random: this.options.random,
      hasBuilds: this.options.hasBuilds,
      sourceAt: (port) => this.network.sourceAt(port),
      crash: (crashed) => { void crashAndReturn(this, crashed) }
    })
    await engine.start()
    await this.network.open(name, address, engine.target)
    this.engines.push(engine)
  }

  private program (name: string, file: string, settings: object): Program {
    const path = join(this.folder, `${name}.toml`)
    writeFileSync(path, stringify(settings))
    return new Program({ name, file, settings: path, log: join(this.folder, `${name}.log`), journal: this.journal })
  }

  /** Engines, callers and proxies run in this process: while it is held, everything looks late. */
  private watchOwnLoop (): void {
    let lookedAt = performance.now()
    this.timer = setInterval(() => {
      const heldMs = performance.now() - lookedAt - LOOK_MS
      lookedAt = performance.now()
      const { journal } = this
      if (heldMs <= HELD_MS) return
      journal.disturbances.push({ who: ALL, what: `held for ${Math.round(heldMs)} ms`, from: journal.now - heldMs, to: journal.now })
    }, LOOK_MS)
  }
}

function processSettings (box: string, dataCentre: string, listen: string, admin: string): object {
  return { box, dataCentre, listen, admin, linkKey: LINK_KEY, logLevel: 'info', regions: REGIONS }
}

function dataCentreAt (index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? ''
}
