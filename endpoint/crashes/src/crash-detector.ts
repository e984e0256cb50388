/**
 * Tells endpoints whose process has ended on its own from those that are stopped as planned, cut off or without power. A
 * connection that breaks may mean any of these; that the address refuses connections, or that another incarnation is heard
 * there, while the endpoint has said nothing of leaving, means a crash.
 */
import { connect } from 'node:net'
import { type Lease } from '@gullwall/transport.messages'

/** What a look at an endpoint's address showed. A box without power, or behind a cut, says nothing. */
export type ProbeResult = 'refused' | 'open' | 'silent'

/** One request that was running at an endpoint when its connection broke. */
export interface InterruptedRequest {
  requestId: string
  fingerprint: string
}

/** What is known of an endpoint here when a connection to it breaks. */
export interface DisconnectedEndpoint {
  incarnation: string
  address: string
  /** For how long nothing was heard of it though others were, in ms. */
  silentMs: number
}

export interface CrashDetectorOptions {
  /** What the endpoint has said of itself; undefined if it has no lease. */
  getLeaseState: (incarnation: string) => Lease['state'] | undefined
  isReplaced: (incarnation: string) => boolean
  /** Told of each crash with what was running there; more than once where connections break one after the other. */
  onCrash: (endpoint: string, requests: InterruptedRequest[]) => void
  probe?: (address: string) => Promise<ProbeResult>
  now?: () => number
}

/** For so long after a break a crash is looked for, in ms: engines that start again are heard of within a heartbeat or two. */
const LOOKED_FOR_MS = 3000
/** What breaks so long after a crash was running there too, in ms; a connection may be noticed late by a box that was held. */
const CRASHED_KEPT_MS = 10_000
/** A box that was silent for so long before lost its power or its link, in ms; its connections are reset when it is back. */
const SILENT_MS = 4000
const LOOK_MS = 100
/** Requests that are kept of one endpoint: as many as control keeps of one crash. */
const MAX_REQUESTS = 128
/** An address that neither takes nor refuses a connection within this time says nothing, in ms: many round trips. */
const PROBE_MS = 400

interface Watched {
  requests: InterruptedRequest[]
  since: number
  hasCrashed: boolean
}

export class CrashDetector {
  private readonly watched = new Map<string, Watched>()
  private readonly now: () => number
  private readonly probe: (address: string) => Promise<ProbeResult>
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: CrashDetectorOptions) {
    this.now = options.now ?? (() => performance.now())
    this.probe = options.probe ?? probeAddress
  }

  start (): void {
    this.timer = setInterval(() => this.check(), LOOK_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** How many endpoints are watched. */
  get size (): number {
    return this.watched.size
  }

  /** Notes that a connection ended by itself while a request was running there. */
  recordBrokenConnection (endpoint: DisconnectedEndpoint, request: InterruptedRequest): void {
    const { incarnation, address, silentMs } = endpoint
    const known = this.watched.get(incarnation)
    if (known !== undefined) {
      if (known.requests.length < MAX_REQUESTS) known.requests.push(request)
      if (known.hasCrashed) this.options.onCrash(incarnation, [request])
      return
    }
    const now = this.now()
    if (this.options.getLeaseState(incarnation) !== 'ready' || silentMs > SILENT_MS) return
    const watched: Watched = { requests: [request], since: now, hasCrashed: false }
    this.watched.set(incarnation, watched)
    void this.probe(address).then((result) => {
      if (result === 'refused') this.recordProcessEnd(incarnation)
      if (result === 'silent' && !watched.hasCrashed) this.watched.delete(incarnation)
    })
  }

  /** Notes that an endpoint's process is no longer at its address. */
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

  /** Looks for crashes that show late, and forgets what is over; called at even intervals. */
  check (): void {
    const now = this.now()
    for (const [incarnation, { since, hasCrashed }] of this.watched) {
      if (!hasCrashed && this.options.isReplaced(incarnation)) this.recordProcessEnd(incarnation)
      else if (now - since > (hasCrashed ? CRASHED_KEPT_MS : LOOKED_FOR_MS)) this.watched.delete(incarnation)
    }
  }
}

/** Opens a connection to an address and closes it. */
export async function probeAddress (address: string): Promise<ProbeResult> {
  const colon = address.lastIndexOf(':')
  return await new Promise((resolve) => {
    const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) })
    const timer = setTimeout(() => done('silent'), PROBE_MS)
    const done = (result: ProbeResult) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    socket.once('connect', () => done('open'))
    // Only a refusal says that nobody is there; an endpoint with too many connections resets them.
    socket.once('error', ({ code }: NodeJS.ErrnoException) => done(code === 'ECONNREFUSED' ? 'refused' : code === 'ECONNRESET' ? 'open' : 'silent'))
  })
}
