/** The requests that this gateway sends to other regions: what each would cost, and what crosses. */
import { Regions, type GatewaySettings } from '@gullwall/config.settings'
import { RegionLink, type RegionContext, type EndpointState } from '@gullwall/routing.balancer'
import { type Call } from './call.ts'
import { type GatewayMetrics } from './metrics.ts'

/** Head lines of a request and of its answer. */
const HEAD_BYTES = 800
/** What an answer is taken for until one of its route was seen. */
const UNSEEN_ANSWER_BYTES = 1000
const ANSWER_WEIGHT = 0.1

export interface CrossRegionTrafficOptions {
  settings: Pick<GatewaySettings, 'dataCentre' | 'regions' | 'regionLinkMbitPerS'>
  view: { readonly entryCount: number }
  metrics: Pick<GatewayMetrics, 'crossRegionRequests' | 'crossRegionBytes'>
}

/** Of so many routes a mean is kept; the one that was met first gives way: names come and go with documents. */
const MAX_ROUTES = 5000

export class CrossRegionTraffic {
  readonly regions: Regions
  readonly link: RegionLink
  /** What was sent to other regions since the start, with the answers. */
  readonly sent = { requests: 0, bytes: 0 }
  /** How long the answers of each route usually are. */
  private readonly answerBytes = new Map<string, number>()

  constructor (private readonly options: CrossRegionTrafficOptions) {
    this.regions = new Regions(options.settings.regions)
    this.link = new RegionLink({ mbitPerS: options.settings.regionLinkMbitPerS, entryCount: () => options.view.entryCount })
  }

  /** What the choice must know for a request; nothing where the deployment lies in one region, which spares the sorting by region. */
  costsFor (call: Call): RegionContext | undefined {
    if (this.regions.names.size < 2) return undefined
    return { regionOf: (dataCentre) => this.regions.regionOf(dataCentre), crossRegionCostMs: this.link.costMs(this.expectedBytes(call)) }
  }

  /** Notes that a request is sent; gives what to call with the bytes of its answer once that has ended. */
  beginRequest (call: Call, { description }: EndpointState): (answerBytes: number) => void {
    const { metrics } = this.options
    const expected = this.expectedBytes(call)
    const isLeaving = this.isElsewhere(description.dataCentre)
    const region = this.regions.regionOf(description.dataCentre)
    if (isLeaving) {
      metrics.crossRegionRequests.inc({ region })
      this.sent.requests += 1
      this.link.recordBytes(expected)
    }
    return (answerBytes) => {
      if (isLeaving) {
        const bytes = requestBytes(call) + answerBytes
        metrics.crossRegionBytes.inc({ region }, bytes)
        this.sent.bytes += bytes
        this.link.recordBytes(bytes - expected)
      }
      this.noteAnswer(call.route.name, answerBytes)
    }
  }

  /** Notes how long a connection took to be made. */
  recordConnected (dataCentre: string, tookMs: number): void {
    if (this.isElsewhere(dataCentre)) this.link.recordRoundTrip(tookMs)
  }

  private isElsewhere (dataCentre: string): boolean {
    return this.regions.distance(this.options.settings.dataCentre, dataCentre) === 'other region'
  }

  private expectedBytes (call: Call): number {
    return requestBytes(call) + (this.answerBytes.get(call.route.name) ?? UNSEEN_ANSWER_BYTES)
  }

  private noteAnswer (route: string, bytes: number): void {
    const known = this.answerBytes.get(route) ?? bytes
    this.answerBytes.set(route, known + ANSWER_WEIGHT * (bytes - known))
    const [oldest] = this.answerBytes.keys()
    if (this.answerBytes.size > MAX_ROUTES && oldest !== undefined) this.answerBytes.delete(oldest)
  }
}

function requestBytes ({ body }: Call): number {
  return HEAD_BYTES + (body?.length ?? 0)
}
