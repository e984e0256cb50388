/**
 * Distinguishes crashes of endpoints from planned stops, network failures and power losses. Any of these may close a
 * connection. A crash is assumed if the address also refuses connections or has a new incarnation, and the endpoint has not
 * announced that it is leaving.
 */
import { connect } from 'node:net'
import { type PartAtCrash } from '@gullwall/routing.quarantine'
import { type Lease } from '@gullwall/transport.messages'

/** The result of connecting to an endpoint's address; `silent` if its box has no power or can't be reached. */
export type ProbeResult = 'refused' | 'open' | 'silent'

/** A request that was running at an endpoint when its connection closed. */
export interface InterruptedRequest {
  requestId: string
  fingerprint: string
  /** The ids of the parts of its prompt, in order; none if it declares none. */
  parts?: string[]
  /** The parts that may have crashed the endpoint; none if the request had run well there. */
  suspectedParts?: PartAtCrash[]
}

/** The local state of an endpoint when a connection to it closes unexpectedly. */
export interface DisconnectedEndpoint {
  incarnation: string
  address: string
  /** The time without heartbeats of the endpoint while those of other endpoints arrived, in ms. */
  silentMs: number
}

export interface CrashDetectorOptions {
  /** Returns the state that the endpoint last reported; undefined if it has no lease. */
  getLeaseState: (incarnation: string) => Lease['state'] | undefined
  /** Whether a newer incarnation of the endpoint is known. */
  isReplaced: (incarnation: string) => boolean
  /** Called with the requests running at a crash, and again with each request whose connection closes later. */
  onCrash: (endpoint: string, requests: InterruptedRequest[]) => void
  probe?: (address: string) => Promise<ProbeResult>
  now?: () => number
}

/** The time after a closed connection in which a crash can be detected, in ms. A restarted engine sends a heartbeat within it. */
const DETECTION_MS = 3000
/** The time after a crash in which further closed connections count towards it, in ms: a box that was suspended notices them late. */
const CRASH_RETENTION_MS = 10_000
/** An endpoint silent for longer than this lost power or its network, in ms. Its connections are reset when the box is back. */
const MAX_SILENT_MS = 4000
const CHECK_INTERVAL_MS = 100
/** The number of requests kept for one endpoint, as in control. */
const MAX_REQUESTS = 128
/** An address that neither accepts nor refuses a connection within this time is silent, in ms: many round trips. */
const PROBE_TIMEOUT_MS = 400

interface WatchedEndpoint {
  requests: InterruptedRequest[]
  since: number
  hasCrashed: boolean
}

export class CrashDetector {
  private readonly watched = new Map<string, WatchedEndpoint>()
  private readonly now: () => number
  private readonly probe: (address: string) => Promise<ProbeResult>
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: CrashDetectorOptions) {
    this.now = options.now ?? (() => performance.now())
    this.probe = options.probe ?? probeAddress
  }

  start (): void {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** The number of endpoints that are watched for a crash or have recently crashed. */
  get size (): number {
    return this.watched.size
  }

  /** Records that a connection closed unexpectedly while a request was running at the endpoint. */
  recordBrokenConnection (endpoint: DisconnectedEndpoint, request: InterruptedRequest): void {
    const { incarnation, address, silentMs } = endpoint
    const known = this.watched.get(incarnation)
    if (known !== undefined) {
      if (known.requests.length < MAX_REQUESTS) known.requests.push(request)
      if (known.hasCrashed) this.options.onCrash(incarnation, [request])
      return
    }
    const now = this.now()
    if (this.options.getLeaseState(incarnation) !== 'ready' || silentMs > MAX_SILENT_MS) return
    const watched: WatchedEndpoint = { requests: [request], since: now, hasCrashed: false }
    this.watched.set(incarnation, watched)
    void this.probe(address).then((result) => {
      if (result === 'refused') this.recordProcessEnd(incarnation)
      if (result === 'silent' && !watched.hasCrashed) this.watched.delete(incarnation)
    })
  }

  /** Records that an endpoint's process is no longer at its address. This is a crash unless the endpoint was leaving. */
  recordProcessEnd (incarnation: string): void {
    const known = this.watched.get(incarnation)
    if (known === undefined || known.hasCrashed) return
    if (this.options.getLeaseState(incarnation) !== 'ready') {
      this.watched.delete(incarnation)
      return
    }
    known.hasCrashed = true
    this.options.onCrash(incarnation, [...known.requests])
  }

  /** Detects crashes of endpoints that have a new incarnation, and stops watching old ones. It is called periodically. */
  check (): void {
    const now = this.now()
    for (const [incarnation, { since, hasCrashed }] of this.watched) {
      if (!hasCrashed && this.options.isReplaced(incarnation)) this.recordProcessEnd(incarnation)
      else if (now - since > (hasCrashed ? CRASH_RETENTION_MS : DETECTION_MS)) this.watched.delete(incarnation)
    }
  }
}

/** Opens a connection to an address, given as host and port, and closes it. */
export async function probeAddress (address: string): Promise<ProbeResult> {
  const colon = address.lastIndexOf(':')
  return await new Promise((resolve) => {
    const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) })
    const timer = setTimeout(() => done('silent'), PROBE_TIMEOUT_MS)
    const done = (result: ProbeResult) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    socket.once('connect', () => done('open'))
    // Only a refused connection shows that no process is listening; an endpoint with too many connections resets new ones.
    socket.once('error', ({ code }: NodeJS.ErrnoException) => done(code === 'ECONNREFUSED' ? 'refused' : code === 'ECONNRESET' ? 'open' : 'silent'))
  })
}
