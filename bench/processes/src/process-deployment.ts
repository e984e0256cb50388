/** Writes the settings of a deployment, starts its programs and waits until they serve. */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { basename, join } from 'node:path'
import { stringify } from 'smol-toml'
import { request } from 'undici'
import { freeAddresses, until, type BoxPlan } from '@gullwall/bench.deployment'
import { DEFAULT_SPEED, type EngineSpeed, type Run } from '@gullwall/bench.fake-engine'
import { OperatorClient } from '@gullwall/cli.client'
import { checkRecordsFile } from '@gullwall/config.records'
import { orThrow } from '@gullwall/config.checker'
import { messageOf } from '@gullwall/core.error'
import { Child, type ProgramName } from './child.ts'

export interface ProcessPlan {
  boxes: BoxPlan[]
  entries: Array<{ box: string, dataCentre: string }>
  controls: number
  records: string
  speed?: Partial<EngineSpeed>
  policy?: string
  startLimit?: number
  maxLimit?: number
  maxQueued?: number
  logLevel?: string
  /** Boxes whose sidecars share one stand-in process for their engines. */
  boxesPerEngineProcess?: number
}

/** A running program with its addresses. */
export interface RunningProgram {
  child: Child
  listen: string
  admin: string
  settings: string
}

const LINK_KEY = 'a-shared-key-for-loopback'
const OPERATOR_TOKEN = 'an-operator-token-for-loopback'
const DEFAULT_BOXES_PER_ENGINE_PROCESS = 3
const CONNECT_TIMEOUT_MS = 1000

export class ProcessDeployment {
  readonly folder = mkdtempSync(join(tmpdir(), 'gullwall-'))
  readonly controls: RunningProgram[] = []
  readonly sidecars = new Map<string, RunningProgram>()
  readonly entries: RunningProgram[] = []
  readonly engineHosts: RunningProgram[] = []
  private readonly engineAddresses = new Map<string, { address: string, host: number }>()
  private controlAddresses: string[] = []

  constructor (readonly plan: ProcessPlan) {}

  async start (): Promise<void> {
    await this.startEngines()
    await this.startControls()
    const changes = orThrow(checkRecordsFile(this.plan.records, 'records'), 'read records')
    const client = this.operator()
    await until('the records to be accepted', async () => {
      try {
        return (await client.apply(changes)).type === 'accepted'
      } catch {
        return false
      }
    })
    await client.close()
    await Promise.all(this.plan.boxes.map(async (plan) => await this.startSidecar(plan)))
    for (const { box, dataCentre } of this.plan.entries) this.entries.push(await this.startEntry(box, dataCentre))
    await this.settled()
  }

  /** Waits until every entry is ready and sees every endpoint. @throws with what became of each program if that takes too long */
  async settled (): Promise<void> {
    try {
      await this.allServe()
    } catch (error) {
      throw new Error(`${messageOf(error)}\n${this.fates().join('\n')}`)
    }
  }

  private async allServe (): Promise<void> {
    const wanted = this.plan.boxes.reduce((sum, box) => sum + box.engines.length, 0)
    for (const entry of this.entries) {
      await until(`entry ${entry.admin} to see ${wanted} endpoints`, async () => {
        const status = await readJson<{ endpoints?: Array<{ limit: number }> }>(entry.admin, '/status')
        return (status?.endpoints ?? []).filter((endpoint) => endpoint.limit > 0).length >= wanted && await isReady(entry.admin)
      })
    }
  }

  /** For each program its settings, its exit code if it has ended, and the last line of its log. */
  private fates (): string[] {
    return this.programs().map((running) => {
      const state = running.child.exitCode === null ? 'runs' : `ended with code ${running.child.exitCode}`
      return `${basename(running.settings)} ${state}: ${this.log(running).trimEnd().split('\n').at(-1) ?? ''}`
    })
  }

  private programs (): RunningProgram[] {
    return [...this.entries, ...this.sidecars.values(), ...this.controls, ...this.engineHosts]
  }

  async stop (): Promise<void> {
    await Promise.all(this.programs().map(async ({ child }) => { if (child.exitCode === null) await child.kill() }))
    rmSync(this.folder, { recursive: true, force: true })
  }

  operator (): OperatorClient {
    return new OperatorClient({ control: this.controlAddresses, token: OPERATOR_TOKEN, operator: 'bench' })
  }

  /** The runs on all engines. */
  async runs (): Promise<Run[]> {
    const ledgers = await Promise.all(this.engineHosts.map(async ({ admin }) => await readJson<Run[]>(admin, '/ledger') ?? []))
    return ledgers.flat()
  }

  async setFault (engine: string, kind: 'none' | 'slow' | 'freeze' | 'crash' | 'lie', factor = 5): Promise<void> {
    const host = this.engineHosts[this.engineAddresses.get(engine)?.host ?? 0]
    await request(`http://${host?.admin ?? ''}/faults`, { method: 'POST', body: JSON.stringify({ engine, kind, factor }) })
  }

  engineAddress (engine: string): string {
    return this.engineAddresses.get(engine)?.address ?? ''
  }

  async startEntry (box: string, dataCentre: string): Promise<RunningProgram> {
    const [listen = '', admin = ''] = await freeAddresses(2)
    const settings = {
      ...this.process(box, dataCentre, listen, admin),
      control: this.controlAddresses,
      maxQueued: this.plan.maxQueued ?? 5000,
      policy: this.plan.policy ?? 'late-binding'
    }
    return await this.run('gullwall-entry', box, settings, listen, admin)
  }

  async startSidecar (plan: BoxPlan, addresses?: string[]): Promise<RunningProgram> {
    const [listen = '', admin = ''] = addresses ?? await freeAddresses(2)
    const endpoints = plan.engines.map(({ name, model, labels }) => ({
      name,
      kind: 'engine',
      serves: model,
      address: this.engineAddresses.get(name)?.address,
      labels: labels ?? {},
      startLimit: this.plan.startLimit ?? 8,
      maxLimit: this.plan.maxLimit ?? 64
    }))
    const settings = {
      ...this.process(plan.box, plan.dataCentre, listen, admin),
      control: this.controlAddresses,
      endpoints,
      admitWithoutSlot: (this.plan.policy ?? 'late-binding') !== 'late-binding'
    }
    const sidecar = await this.run('gullwall-sidecar', plan.box, settings, listen, admin)
    this.sidecars.set(plan.box, sidecar)
    return sidecar
  }

  /** Starts a program again on the same settings, as after a crash. */
  restart (program: ProgramName, running: RunningProgram): RunningProgram {
    return { ...running, child: new Child(program, { settings: running.settings, log: `${running.settings}.log` }) }
  }

  /** The log lines of a program so far. */
  log (running: RunningProgram): string {
    return readFileSync(`${running.settings}.log`, 'utf8')
  }

  private async startEngines (): Promise<void> {
    const speed = { ...DEFAULT_SPEED, ...this.plan.speed }
    const perProcess = this.plan.boxesPerEngineProcess ?? DEFAULT_BOXES_PER_ENGINE_PROCESS
    for (let first = 0; first < this.plan.boxes.length; first += perProcess) {
      const engines = this.plan.boxes.slice(first, first + perProcess).flatMap((box) => box.engines)
      if (engines.length === 0) continue
      const [admin = '', ...listens] = await freeAddresses(engines.length + 1)
      engines.forEach(({ name }, index) => this.engineAddresses.set(name, { address: listens[index] ?? '', host: this.engineHosts.length }))
      const settings = {
        admin,
        engines: engines.map((engine, index) => ({
          name: engine.name, model: engine.model, listen: listens[index], speed: { ...speed, ...engine.speed }
        }))
      }
      const host = this.spawn('gullwall-fake-engine', `engines-${first}`, settings, admin, admin)
      await until('the engines', async () => await readJson(admin, '/ledger') !== undefined)
      this.engineHosts.push(host)
    }
  }

  private async startControls (): Promise<void> {
    this.controlAddresses = await freeAddresses(this.plan.controls)
    const members = Object.fromEntries(this.controlAddresses.map((address, index) => [`c${index + 1}`, address]))
    await Promise.all(Object.entries(members).map(async ([member, listen]) => {
      const [admin = ''] = await freeAddresses(1)
      const settings = {
        ...this.process(member, this.plan.boxes[0]?.dataCentre ?? 'dc', listen, admin),
        member,
        members,
        dataFolder: join(this.folder, `data-${member}`),
        operatorToken: OPERATOR_TOKEN
      }
      this.controls.push(await this.run('gullwall-control', member, settings, listen, admin))
    }))
  }

  private async run (program: ProgramName, name: string, settings: object, listen: string, admin: string): Promise<RunningProgram> {
    const running = this.spawn(program, name, settings, listen, admin)
    await until(`${program} ${name}`, async () => await readJson(admin, '/livez') !== undefined)
    return running
  }

  private spawn (program: ProgramName, name: string, settings: object, listen: string, admin: string): RunningProgram {
    const file = join(this.folder, `${name}.toml`)
    writeFileSync(file, stringify(settings))
    return { child: new Child(program, { settings: file, log: `${file}.log` }), listen, admin, settings: file }
  }

  private process (box: string, dataCentre: string, listen: string, admin: string): object {
    return { box, dataCentre, listen, admin, linkKey: LINK_KEY, logLevel: this.plan.logLevel ?? 'info' }
  }
}

/** Reads a JSON page; undefined if there is no answer. */
export async function readJson<T> (address: string, path: string): Promise<T | undefined> {
  try {
    const answer = await request(`http://${address}${path}`, { headersTimeout: CONNECT_TIMEOUT_MS, bodyTimeout: CONNECT_TIMEOUT_MS })
    return await answer.body.json() as T
  } catch {
    return undefined
  }
}

async function isReady (admin: string): Promise<boolean> {
  return (await readJson<{ ready: boolean }>(admin, '/readyz'))?.ready === true
}
