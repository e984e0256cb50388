/** The traffic that this gateway sends to other regions: the cost of each request, and the requests and bytes sent. */
import { Regions, type GatewaySettings } from '@gullwall/config.settings'
import { RegionLink, type RegionContext, type EndpointState } from '@gullwall/routing.balancer'
import { type Call } from './call.ts'
import { type DeploymentView } from './deployment-view.ts'
import { type GatewayMetrics } from './metrics.ts'

/** Assumed size of the headers of a request and of its answer together. */
const HEAD_BYTES = 800
/** Assumed size of an answer until its route has had one. */
const DEFAULT_ANSWER_BYTES = 1000
/** Weight of the latest answer in the moving mean of its route. */
const ANSWER_WEIGHT = 0.1

export interface CrossRegionTrafficOptions {
  settings: Pick<GatewaySettings, 'dataCentre' | 'regions' | 'regionLinkMbitPerS'>
  view: Pick<DeploymentView, 'entryCount' | 'entriesCountedSince'>
  metrics: Pick<GatewayMetrics, 'crossRegionRequests' | 'crossRegionBytes'>
}

/** The maximum number of routes with a mean. Beyond it the route that was added first is dropped, as documents add and remove routes. */
const MAX_ROUTES = 5000

export class CrossRegionTraffic {
  readonly regions: Regions
  readonly link: RegionLink
  /** Requests sent to other regions since the start, and their bytes including the answers. */
  readonly sent = { requests: 0, bytes: 0 }
  /** The moving mean of the answer size of each route, in bytes. */
  private readonly answerBytes = new Map<string, number>()

  constructor (private readonly options: CrossRegionTrafficOptions) {
    this.regions = new Regions(options.settings.regions)
    const { settings, view } = options
    this.link = new RegionLink({
      mbitPerS: settings.regionLinkMbitPerS, entryCount: () => view.entryCount, countedSince: () => view.entriesCountedSince
    })
  }

  /** Returns the region costs of a request for the choice of an endpoint; undefined if the deployment has a single region. */
  costsFor (call: Call): RegionContext | undefined {
    if (this.regions.names.size < 2) return undefined
    return { regionOf: (dataCentre) => this.regions.regionOf(dataCentre), crossRegionCostMs: this.link.costMs(this.expectedBytes(call)) }
  }

  /** Records that a request is sent. Returns a function to call with the size of its answer in bytes once that has ended. */
  beginRequest (call: Call, { description }: EndpointState): (answerBytes: number) => void {
    const { metrics } = this.options
    const expectedBytes = this.expectedBytes(call)
    const isCrossRegion = this.isOtherRegion(description.dataCentre)
    const region = this.regions.regionOf(description.dataCentre)
    if (isCrossRegion) {
      metrics.crossRegionRequests.inc({ region })
      this.sent.requests += 1
      this.link.recordBytes(expectedBytes)
    }
    return (answerBytes) => {
      if (isCrossRegion) {
        const bytes = requestBytes(call) + answerBytes
        metrics.crossRegionBytes.inc({ region }, bytes)
        this.sent.bytes += bytes
        this.link.recordBytes(bytes - expectedBytes)
      }
      this.recordAnswer(call.route.name, answerBytes)
    }
  }

  /** Records how long it took to connect to an endpoint in a data centre, in ms. */
  recordConnected (dataCentre: string, tookMs: number): void {
    if (this.isOtherRegion(dataCentre)) this.link.recordRoundTrip(tookMs)
  }

  private isOtherRegion (dataCentre: string): boolean {
    return this.regions.distance(this.options.settings.dataCentre, dataCentre) === 'other region'
  }

  private expectedBytes (call: Call): number {
    return requestBytes(call) + (this.answerBytes.get(call.route.name) ?? DEFAULT_ANSWER_BYTES)
  }

  private recordAnswer (route: string, bytes: number): void {
    const mean = this.answerBytes.get(route) ?? bytes
    this.answerBytes.set(route, mean + ANSWER_WEIGHT * (bytes - mean))
    const [oldest] = this.answerBytes.keys()
    if (this.answerBytes.size > MAX_ROUTES && oldest !== undefined) this.answerBytes.delete(oldest)
  }
}

function requestBytes ({ body }: Call): number {
  return HEAD_BYTES + (body?.length ?? 0)
}
