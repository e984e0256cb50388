/** A model of gateways, control processes, endpoints and callers around the rule; messages are delivered late, twice, or never. */
import {
  AMBIGUOUS, bindTo, BindingOutbox, BindingTable, chooseHolders, isSameBuild, type BindingRecord, type BuildBinding, type EndpointBuild
} from '@gullwall/routing.stream-builds'

export const GATEWAYS = ['g1', 'g2', 'g3']
export const CONTROLS = ['c1', 'c2', 'c3', 'c4']
export const VALID_MS = 8000

/** An endpoint with the build that it really has, which its reports may not name. */
export interface ModelEndpoint extends EndpointBuild {
  trueBuild: string
}

interface Control {
  name: string
  table: BindingTable
}

/** One connection; another one after a cut or a restart is another link. */
interface Link {
  name: string
  dataCentre: string
  isLocalRegion: boolean
  control: Control
  isOpen: boolean
}

interface Gateway {
  name: string
  table: BindingTable
  outbox: BindingOutbox<Link>
  links: Map<string, Link>
}

interface Stream {
  name: string
  /** The build that made its first event. */
  trueBuild: string
  builds: Set<string>
  beganAt: number
  beganBy: Gateway
  binding: BuildBinding
}

interface Letter { control: Control, link: Link, records: BindingRecord[] }

export class Model {
  now = 0
  readonly streams: Stream[] = []
  readonly endpoints: ModelEndpoint[] = []
  private readonly gateways = new Map<string, Gateway>()
  private readonly controls = new Map<string, Control>()
  private readonly cuts = new Set<string>()
  private letters: Letter[] = []
  private count = 0

  constructor (readonly delaysMessages: boolean) {
    for (const name of CONTROLS) this.controls.set(name, this.newControl(name))
    for (const name of GATEWAYS) this.startGateway(name)
  }

  startGateway (name: string): void {
    for (const link of this.gateways.get(name)?.links.values() ?? []) link.isOpen = false
    const table = new BindingTable({ now: () => this.now })
    this.gateways.set(name, { name, table, outbox: new BindingOutbox(table), links: new Map() })
    for (const control of this.controls.values()) this.open(name, control)
  }

  /** Its state is lost; the gateways link to the new process. */
  startControl (name: string): void {
    const control = this.newControl(name)
    this.controls.set(name, control)
    for (const gateway of GATEWAYS) this.open(gateway, control)
  }

  cut (gateway: string, control: string): void {
    this.cuts.add(`${gateway}-${control}`)
    const link = this.gateways.get(gateway)?.links.get(control)
    if (link !== undefined) link.isOpen = false
    this.gateways.get(gateway)?.links.delete(control)
  }

  heal (gateway: string, control: string): void {
    this.cuts.delete(`${gateway}-${control}`)
    const process = this.controls.get(control)
    if (process !== undefined && this.gateways.get(gateway)?.links.has(control) === false) this.open(gateway, process)
  }

  /** Starts an endpoint in a place; its predecessor there has ended. */
  startEndpoint (place: number, trueBuild: string, isNamed: boolean): void {
    this.count += 1
    this.endpoints[place] = { service: 'app', incarnation: `i-${place}-${this.count}`, build: isNamed ? trueBuild : undefined, trueBuild }
  }

  /** A caller's request gets its first event from an endpoint. */
  begin (gatewayName: string, endpoint: ModelEndpoint): void {
    const gateway = this.gateway(gatewayName)
    this.count += 1
    const name = `s-${this.count}`
    const binding = bindTo(endpoint)
    const { trueBuild } = endpoint
    this.streams.push({ name, trueBuild, builds: new Set([trueBuild]), beganAt: this.now, beganBy: gateway, binding })
    const record = { key: name, binding, validMs: VALID_MS }
    gateway.table.record(record)
    gateway.outbox.add(record)
    this.tell(gateway)
  }

  /** A caller takes a stream up; returns whether the stream went on. */
  takeUp (gatewayName: string, stream: Stream): boolean {
    const gateway = this.gateway(gatewayName)
    const binding = this.find(gateway, stream.name)
    if (binding === undefined) return false
    const endpoint = this.endpoints.find((candidate) => isSameBuild(binding, candidate))
    if (endpoint === undefined) return false
    stream.builds.add(endpoint.trueBuild)
    return true
  }

  /** Whether a stream must go on at a gateway: somebody in touch knows its binding, and an endpoint names its build. */
  mustGoOn (gatewayName: string, stream: Stream): boolean {
    const gateway = this.gateway(gatewayName)
    const isValid = this.now - stream.beganAt < VALID_MS
    const isServed = this.endpoints.some((endpoint) => isSameBuild(stream.binding, endpoint))
    const isLinked = CONTROLS.every((control) => gateway.links.has(control))
    const beginner = this.gateway(stream.beganBy.name)
    const isBeginnerThere = beginner === stream.beganBy && beginner.links.size > 0
    return isValid && isServed && (beginner === gateway ? stream.beganBy === gateway : isLinked && isBeginnerThere)
  }

  /** Delivers what is under way, some of it twice. */
  deliver (twice: boolean): void {
    const letters = this.letters
    this.letters = twice ? letters : []
    for (const { control, records } of letters) for (const record of records) control.table.record(record)
  }

  private find (gateway: Gateway, name: string): BuildBinding | undefined {
    const tables = [gateway.table, ...[...gateway.links.values()].map(({ control }) => control.table)]
    for (const table of tables) {
      const binding = table.find(name)
      if (binding === AMBIGUOUS) return undefined
      if (binding !== undefined) return binding
    }
    return undefined
  }

  private open (gatewayName: string, control: Control): void {
    const gateway = this.gateway(gatewayName)
    if (this.cuts.has(`${gatewayName}-${control.name}`)) return
    gateway.links.set(control.name, { name: control.name, dataCentre: control.name, isLocalRegion: true, control, isOpen: true })
    this.tell(gateway)
  }

  private tell (gateway: Gateway): void {
    for (const [link, records] of gateway.outbox.take(chooseHolders(gateway.name, [...gateway.links.values()]))) {
      this.letters.push({ control: link.control, link, records })
    }
    if (!this.delaysMessages) this.deliver(false)
  }

  private newControl (name: string): Control {
    return { name, table: new BindingTable({ now: () => this.now }) }
  }

  private gateway (name: string): Gateway {
    return this.gateways.get(name) as Gateway
  }
}
