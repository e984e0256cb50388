/** What callers, engines and the operator have seen, for the checks. Times are in ms since the start of the run. */

/** By the request that brought the first event, by the latest one, or not at all. */
export const NAMINGS = ['first', 'latest', 'none'] as const
export type Naming = typeof NAMINGS[number]

/** One request of a caller. */
export interface Attempt {
  id: string
  /** The request that began the stream; its own id but where the caller takes a stream up. */
  subject: string
  /** The last event that the caller has of the stream; 0 for a new one. */
  after: number
  /** How the caller names a stream that it takes up. */
  naming?: Naming
  /** When the first request for the stream was sent, if this one takes it up. */
  beganAt?: number
  kind: string
  path: string
  key: string
  gateway: string
  /** Which start of the gateway's process. */
  life: number
  sentAt: number
  endedAt?: number
  status?: number
  headers?: Record<string, string | string[] | undefined>
  body?: string
  /** Whether the answer came to its end as the protocol has it. */
  isWhole?: boolean
  /** Why there is no answer. */
  failure?: 'refused' | 'closed' | 'left'
}

/** One request that reached an engine and was not turned away. */
export interface Run {
  id: string
  serial: number
  at: number
  engine: string
  incarnation: string
  dataCentre: string
  service: string
  /** The gateway that sent it, by its connection. */
  from: string
  path: string
  isAsSent: boolean
  urgency: number
  organisation: string
  lastEventId: number
  /** Headers that only a gateway may set and whose value came from outside. */
  smuggled: string[]
  /** When the engine had written the whole answer. */
  wroteAllAt?: number
  /** Whether the engine itself ended it early. */
  isBrokenOff?: boolean
  /** How its answer was broken off. */
  brokenBy?: Break
  /** The status with which the engine refused the request although it had run it. */
  refusedWith?: number
}

export interface Break {
  end: 'reset' | 'close'
  /** Whether a length or chunks would have told where the answer ends. */
  isFramed: boolean
  /** The last event that was sent, if the part of a stream that was sent ends with it. */
  behindEvent?: number | undefined
}

/** A change that the operator asked for. */
export interface Order {
  kind: 'document' | 'evacuate' | 'return'
  version: number
  /** The text of a document, or a data centre. */
  text: string
  isValid: boolean
  sentAt: number
  ackedAt?: number
  refusedWith?: number
}

/** A document that was read back. */
export interface Reading { at: number, version: number, text: string, from: string }

/** An engine said that it leaves, and that was acknowledged. */
export interface Leaving { incarnation: string, ackedAt: number }

/** A time in which a process, its machine or its links were not left alone. */
export interface Disturbance { who: string, what: string, from: number, to: number }

/** The end of a process: asked for by a signal, or by itself. */
export interface ProcessEnd { who: string, at: number, asked: 'SIGTERM' | 'SIGKILL' | undefined, askedAt: number, code: number | null }

/** A request under which an engine's process ends reached one. */
export interface CrashingRun { body: string, at: number, engine: string, from: string }

/** A sound request that shares its caller, route and first part with requests under whose other part engines crash. */
export interface Neighbour { part: string, gateway: string, sentAt: number, isServed: boolean }

/** An engine turned a gateway away and asked it for rest. */
export interface RestAsked { incarnation: string, from: string, at: number, ms: number }

/** Any request that reached an engine which had asked somebody for rest, or named a limit. */
export interface Arrival { id: string, incarnation: string, from: string, at: number }

/** Any request that reached an engine, whether it was run or rejected. */
export interface Delivery { id: string, service: string, at: number }

/** An engine told a gateway, in the head of an answer, that it drains. */
export interface DrainWord { incarnation: string, from: string, at: number }

/** Bytes without end that an engine sent on a connection, until it was closed. */
export interface Flood {
  /** The request whose answer was due, or was the last one. */
  id: string
  engine: string
  incarnation: string
  from: string
  place: string
  at: number
  endedAt?: number
  /** Whether the bytes may be a proper answer that is just long. */
  mayBeAnswer: boolean
}

/** A time in which the answers of an engine named a limit, in requests a second. */
export interface LimitSpell { incarnation: string, perSecond: number, from: number, to: number }

/** How far a control process was, against the leader, in entries of the log; undefined where it did not say. */
export interface Standing { at: number, control: string, behind: number | undefined }

/** One life of an engine, until it ended or said that it leaves. */
export interface Life { engine: string, service: string, build: string, from: number, to: number }

/** A time in which an engine was cold. */
export interface ColdSpell { incarnation: string, from: number, to: number }

/** All processes of control together: what disturbs one of them disturbs all that depend on them. */
export const CORE = 'core'
/** Every process, for a disturbance of the whole machine. */
export const ALL = 'all'
/** So long after a disturbance a process counts as out of touch, in ms: it has to link and to hear again. */
export const CONTACT_MS = 4000

export class Journal {
  readonly attempts: Attempt[] = []
  readonly runs: Run[] = []
  readonly orders: Order[] = []
  readonly readings: Reading[] = []
  readonly leavings: Leaving[] = []
  readonly disturbances: Disturbance[] = []
  readonly ends: ProcessEnd[] = []
  readonly coldSpells: ColdSpell[] = []
  readonly lives: Life[] = []
  readonly crashes: CrashingRun[] = []
  /** The same for parts of prompts; `body` is the name of the part. */
  readonly partCrashes: CrashingRun[] = []
  readonly neighbours: Neighbour[] = []
  readonly rests: RestAsked[] = []
  readonly arrivals: Arrival[] = []
  readonly deliveries: Delivery[] = []
  readonly drainWords: DrainWord[] = []
  readonly limits: LimitSpell[] = []
  readonly floods: Flood[] = []
  /** The peak of the resident memory of each gateway, over all its lives. */
  readonly peakBytes = new Map<string, number>()
  /** Read once all should be well again. */
  readonly standings: Standing[] = []
  /** Answers of control to callers without its token. */
  readonly intrusions: Array<{ at: number, path: string, status: number }> = []
  private readonly runsById = new Map<string, Run[]>()
  private readonly startedAt = performance.now()

  get now (): number {
    return performance.now() - this.startedAt
  }

  noteRun (run: Run): void {
    this.runs.push(run)
    const known = this.runsById.get(run.id)
    if (known === undefined) this.runsById.set(run.id, [run])
    else known.push(run)
  }

  notePeak (gateway: string, bytes: number): void {
    this.peakBytes.set(gateway, Math.max(bytes, this.peakBytes.get(gateway) ?? 0))
  }

  /** When a caller sent a request. */
  sentAtOf (id: string): number | undefined {
    return this.attempts.find((attempt) => attempt.id === id)?.sentAt
  }

  runsOf (id: string): readonly Run[] {
    return this.runsById.get(id) ?? []
  }

  /** Notes the begin of a disturbance; the result ends it. */
  disturb (who: string, what: string): () => void {
    const disturbance: Disturbance = { who, what, from: this.now, to: Infinity }
    this.disturbances.push(disturbance)
    return () => { disturbance.to = Math.min(disturbance.to, this.now) }
  }

  /** Whether nothing has disturbed any of these from a while before a time on until another. */
  isCalm (who: readonly string[], from: number, to = from): boolean {
    return !this.disturbances.some((disturbance) => (
      (disturbance.who === ALL || who.includes(disturbance.who)) &&
      disturbance.from <= to && disturbance.to >= from - CONTACT_MS
    ))
  }

  /** Whether a gateway could hear of everything at a time. */
  isInTouch (gateway: string, from: number, to = from): boolean {
    return this.isCalm([gateway, CORE], from, to)
  }
}
