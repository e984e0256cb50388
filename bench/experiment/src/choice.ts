/**
 * What one choice of an endpoint costs a gateway, by the number of endpoints, and what its look at work costs each 60 ms.
 * One warm process drives the gateway's own services; nothing is sent.
 */
import { RouteTable, type Route } from '@gullwall/config.document'
import { type GatewaySettings } from '@gullwall/config.settings'
import { AttemptHistory, chooseEndpoint, createGateway, LoadExchange, type Call, type GatewayServices } from '@gullwall/entry.gateway'
import { DEFAULT_WEIGHTS, type EndpointState, type PromptPart, type SentRequest, type InFlightRequest } from '@gullwall/routing.balancer'
import { type LoadSummary } from '@gullwall/transport.messages'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** The sizes that are measured unless others are named. */
export const FLEETS = [36, 360, 3000, 12_000]

const SERVICE = 'engines'
const DATA_CENTRES = 9
const SLOTS = 64
/** Subjects that an endpoint keeps. */
const KEPT = 6
/** A subject has so many tokens, and what a request brings itself: as the users' prompts have. */
const SUBJECT_TOKENS = 6300
const OWN_TOKENS = 2900
const OUTPUT_TOKENS = 140
/** Requests that the gateway has under way. */
const UNDER_WAY = 200
const WARM_UP = 400
const MICROS_A_MS = 1000
const ROUNDS = 25
const ROUND_CHOICES = 40
const ROUND_LOOKS = 4

export interface ChoiceOptions {
  endpoints: readonly number[]
  seed: number
}

export interface ChoiceCost {
  endpoints: number
  /** The median of the rounds' means, in ms. */
  choiceMs: number
  /** The same of a look at work, in ms. */
  lookMs: number
  /** How many tokens of each prompt had to be read, as the choice foresaw. */
  unreadTokens: number
}

/**
 * Measures fleets of some sizes, in turn, so that whatever else the machine does meets all of them. Time is that of the
 * processor.
 */
export function measureChoices ({ endpoints, seed }: ChoiceOptions): ChoiceCost[] {
  const fleets = endpoints.map((count) => new Fleet(count, seed))
  for (const fleet of fleets) fleet.warmUp()
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const fleet of fleets) fleet.measure()
  }
  return fleets.map((fleet) => fleet.cost)
}

/** A gateway that knows a fleet under load. */
class Fleet {
  private readonly choices: number[] = []
  private readonly looks: number[] = []
  private unreadTokens = 0
  private readonly services: GatewayServices
  private readonly exchange: LoadExchange
  private readonly random: () => number
  private readonly underWay: Array<{ endpoint: EndpointState, work: InFlightRequest }> = []
  private requests = 0

  constructor (private readonly size: number, seed: number) {
    const generator = xoroshiro128plus(seed)
    this.random = () => uniformFloat64(generator)
    const gateway = createGateway(settings(), { write: () => {} })
    const view = gateway.get('view')
    const controlLinks = { reportLoad: () => true }
    this.services = {
      view,
      eligibility: gateway.get('eligibility'),
      outputLengthEstimator: gateway.get('outputLengthEstimator'),
      crossRegionTraffic: gateway.get('crossRegionTraffic'),
      coldEndpoints: gateway.get('coldEndpoints'),
      evacuatedDataCentres: gateway.get('evacuatedDataCentres'),
      settings: settings(),
      weights: DEFAULT_WEIGHTS,
      startedAt: -Infinity,
      controlLinks
    } as unknown as GatewayServices
    view.table = new RouteTable({ version: 1, routes: [ROUTE], services: [ENGINES], organisations: [], limits: LIMITS })
    view.leases.merge(Array.from({ length: size }, (_, index) => ({
      incarnation: `i-${(index * 2654435761 % 4294967296).toString(16)}`,
      service: SERVICE,
      address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:80`,
      dataCentre: `dc${index % DATA_CENTRES}`,
      slots: SLOTS,
      state: 'ready' as const,
      sequence: 1,
      ageMs: 0
    })))
    this.exchange = new LoadExchange(this.services)
    this.exchange.receive({
      kind: 'workSums', whole: true, peers: 1, works: view.usable(SERVICE).map((endpoint) => this.loadOf(endpoint)), holdings: []
    })
    for (const endpoint of view.usable(SERVICE)) this.keep(endpoint)
  }

  warmUp (): void {
    for (let choice = 0; choice < WARM_UP; choice += 1) this.chooseOnce()
    for (let look = 0; look < ROUND_LOOKS; look += 1) this.look()
    this.unreadTokens = 0
  }

  measure (): void {
    this.choices.push(timeOf(ROUND_CHOICES, () => this.chooseOnce()))
    this.looks.push(timeOf(ROUND_LOOKS, () => this.look()))
  }

  get cost (): ChoiceCost {
    const unreadTokens = this.unreadTokens / (ROUNDS * ROUND_CHOICES)
    return { endpoints: this.size, choiceMs: median(this.choices), lookMs: median(this.looks), unreadTokens }
  }

  private chooseOnce (): void {
    const call = this.nextCall()
    const candidate = chooseEndpoint({ services: this.services, call, history: new AttemptHistory(call) })
    if (candidate === undefined) return
    const { endpoint, unreadTokens, urgency } = candidate
    this.unreadTokens += unreadTokens
    const { prompt } = call
    const sent: SentRequest = { prompt, unreadTokens, urgency, pauseSensitivity: 0.1, isPauseSensitive: false, outputTokens: OUTPUT_TOKENS }
    const work = endpoint.begin(sent, performance.now())
    this.underWay.push({ endpoint, work })
    const oldest = this.underWay.length > UNDER_WAY ? this.underWay.shift() : undefined
    oldest?.endpoint.end(oldest.work, 'success', performance.now())
  }

  private look (): void {
    this.exchange.tick()
  }

  /** What others have under way there. */
  private loadOf ({ description: { incarnation } }: EndpointState): LoadSummary {
    return {
      incarnation,
      unread: [{ urgency: 3, tokens: Math.round(6000 * this.random()) }],
      running: Math.round(0.5 * SLOTS * this.random()),
      strain: 2 * this.random(),
      sensitive: 0,
      unreachable: 0,
      memory: { tokens: 60_000, sharedTokens: 20 * SUBJECT_TOKENS, sharing: 20, subjects: [0x1248_1248, 0x1111_1111] }
    }
  }

  private keep (endpoint: EndpointState): void {
    for (let kept = 0; kept < KEPT; kept += 1) endpoint.prefixCache.record([this.subject()], 0)
  }

  /** Three subjects for an endpoint, so that each is kept by two of them. */
  private subject (): PromptPart {
    return { id: `subject-${Math.floor(3 * this.size * this.random())}`, tokens: SUBJECT_TOKENS }
  }

  private nextCall (): Call {
    this.requests += 1
    const arrivedAt = performance.now()
    return {
      requestId: `r-${this.requests}`,
      waitMs: undefined,
      lastEventId: undefined,
      resumes: undefined,
      binding: undefined,
      key: undefined,
      output: { expectedTokens: OUTPUT_TOKENS },
      prompt: [this.subject(), { id: `own-${this.requests}`, tokens: OWN_TOKENS }],
      method: 'POST',
      path: '/',
      rawHeaders: [],
      body: undefined,
      route: ROUTE,
      organisation: undefined,
      regionLimits: [],
      tier: 1,
      arrivedAt,
      deadline: arrivedAt + ROUTE.timeoutMs,
      documentVersion: 1,
      suspendedMs: 0,
      fingerprint: () => '',
      sharedParts: () => []
    }
  }
}

const ROUTE: Route = {
  name: 'ask',
  host: 'h',
  prefix: '/',
  kind: 'stream',
  timeoutMs: 9000,
  targetMs: 1500,
  tier: 1,
  split: [{ service: SERVICE, weight: 1 }],
  maxAttempts: 2,
  isPublic: true,
  isResumable: true,
  pauseMs: 1000,
  hasPromptParts: true
}

const ENGINES = {
  name: SERVICE,
  healthPath: '/healthz',
  maxConnections: 100,
  engine: { slots: SLOTS, memoryTokens: 309_131, copiesPrefixes: true, bytesPerToken: 0 }
}

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

function settings (): GatewaySettings {
  return { box: 'bench', dataCentre: 'dc0', logLevel: 'error', graceMs: 1000 } as unknown as GatewaySettings
}

function timeOf (times: number, run: () => void): number {
  const startedAt = process.cpuUsage()
  for (let time = 0; time < times; time += 1) run()
  const { user, system } = process.cpuUsage(startedAt)
  return (user + system) / MICROS_A_MS / times
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
}
