/** One real gateway and control process, with engines of this process. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { request } from 'undici'
import { freeAddresses, until } from '@gullwall/bench.deployment'
import { Child, readJson, type ProgramName } from '@gullwall/bench.processes'
import { type RawEngine } from './engine.ts'

/** The heap limits of a gateway on a box with 200 MB. */
const NODE_OPTIONS = ['--max-old-space-size=120', '--max-semi-space-size=2']
const LINK_KEY = 'a-shared-key-for-loopback'
const OPERATOR_TOKEN = 'an-operator-token-for-loopback'
const HEARTBEAT_MS = 1000
/** Time for an answer of control, which is asked again: a process that has just started may leave a request waiting. */
const ASK_MS = 1000
/** Time for each step of the start: the machine may do other work. */
const START_MS = 120_000
const TIMEOUT_MS = 4000
const DATA_CENTRE = 'dc1'
const MAX_CONNECTIONS = 40
const SLOTS = 40

export const HOST = 'bench.example'
export const KEY = 'key-of-the-workshop'

/** The services of the document: each has routes of its own, so that the failures of one do not lead to the other. */
export type Service = 'endless' | 'sound'

export class GatewayWithEngines {
  gatewayAddress = ''
  admin = ''
  private readonly folder = mkdtempSync(join(tmpdir(), 'gullwall-endless-'))
  private control = ''
  private readonly children: Child[] = []
  private heartbeats: NodeJS.Timeout | undefined
  private sequence = 0

  /** @param programs folder of the built programs; those of this checkout if it is undefined */
  constructor (private readonly engines: readonly RawEngine[], private readonly programs?: string) {}

  async start (): Promise<void> {
    const [control = '', controlAdmin = '', gateway = '', admin = '', readiness = ''] = await freeAddresses(5)
    this.control = control
    this.gatewayAddress = gateway
    this.admin = admin
    for (const engine of this.engines) await engine.start()
    this.run('gullwall-control', {
      ...processSettings('control', control, controlAdmin),
      member: 'c1',
      members: { c1: control },
      dataFolder: join(this.folder, 'data'),
      operatorToken: OPERATOR_TOKEN
    })
    this.run('gullwall-gateway', { ...processSettings('gateway', gateway, admin), readiness, seeds: [control] }, NODE_OPTIONS)
    await until('the document to be accepted', async () => await this.put('/v1/document', createDocument()), START_MS)
    await this.beat()
    this.heartbeats = setInterval(() => { void this.beat() }, HEARTBEAT_MS)
    await until('the gateway to be ready', async () => (await readJson<{ ready: boolean }>(admin, '/readyz'))?.ready === true, START_MS)
    await until('the gateway to use the engines', async () => await this.serves('/sound/'), START_MS)
  }

  async stop (): Promise<void> {
    clearInterval(this.heartbeats)
    for (const child of this.children) await child.kill()
    for (const engine of this.engines) engine.stop()
    rmSync(this.folder, { recursive: true, force: true })
  }

  get gatewayPid (): number {
    return this.children.at(-1)?.pid ?? 0
  }

  private run (program: ProgramName, settings: object, nodeOptions: string[] = []): void {
    const file = join(this.folder, `${program}.toml`)
    writeFileSync(file, stringify(settings))
    this.children.push(new Child(program, { settings: file, log: `${file}.log`, nodeOptions, programs: this.programs }))
  }

  private async beat (): Promise<void> {
    this.sequence += 1
    await Promise.all(this.engines.map(async ({ incarnation, service, address }) => {
      const lease = { service, build: 'v1', address, dataCentre: DATA_CENTRE, slots: SLOTS, state: 'ready', coldMs: 0, sequence: this.sequence }
      await this.put(`/v1/leases/${incarnation}`, lease)
    }))
  }

  private async put (path: string, body: object): Promise<boolean> {
    try {
      const headers = { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' }
      const { statusCode, body: reply } = await request(`http://${this.control}${path}`, {
        method: 'PUT', headers, body: JSON.stringify(body), signal: AbortSignal.timeout(ASK_MS)
      })
      await reply.dump()
      return statusCode < 300
    } catch {
      return false
    }
  }

  private async serves (path: string): Promise<boolean> {
    const headers = { host: HOST, authorization: `Bearer ${KEY}`, 'x-gullwall-request-id': 'first' }
    const { statusCode, body } = await request(`http://${this.gatewayAddress}${path}1`, { method: 'POST', headers, body: 'x' })
    await body.dump()
    return statusCode === 200
  }
}

function processSettings (box: string, listen: string, admin: string): object {
  return { box, dataCentre: DATA_CENTRE, listen, admin, linkKey: LINK_KEY, logLevel: 'info', regions: { [DATA_CENTRE]: 'north' } }
}

function createDocument (): object {
  const common = {
    host: HOST, timeoutMs: TIMEOUT_MS, targetMs: TIMEOUT_MS, maxAttempts: 2, isPublic: false, isResumable: false, hasPromptParts: false
  }
  const routeTo = (service: Service, name: string, kind: 'once' | 'stream') => ({
    ...common, name, prefix: `/${name}/`, kind, tier: 1, split: [{ service, weight: 1 }]
  })
  const services: Service[] = ['endless', 'sound']
  return {
    version: 1,
    routes: [routeTo('endless', 'order', 'once'), routeTo('endless', 'scan', 'stream'), routeTo('sound', 'sound', 'once')],
    services: services.map((name) => ({
      name, healthPath: '/healthz', maxConnections: MAX_CONNECTIONS, engine: { slots: SLOTS, memoryTokens: 100_000 }
    })),
    organisations: [{ name: 'workshop', keys: [KEY] }],
    limits: {}
  }
}
