/** The small types that packages of several domains share. */
export * from './run-evidence.ts'
export * from './statuses.ts'

/** Labels of an endpoint, model, adapter, organisation or class. */
export type Labels = Readonly<Record<string, string>>

/**
 * Whether a request ran on an endpoint: `no` only where that is certain,
 * `partly` where it started and did not end, `unknown` where it can't be told.
 */
export type Ran = 'no' | 'unknown' | 'partly' | 'yes'

/** The priority of a class; 0 is the highest. */
export type Tier = number

/** A model engine speaks the chat API; a plain service takes any HTTP call. */
export type EndpointKind = 'engine' | 'service'

/** The kind of program at one end of a link. */
export type Role = 'entry' | 'sidecar' | 'control' | 'operator'

/** An endpoint as its sidecar describes it. */
export interface EndpointDescription {
  name: string
  kind: EndpointKind
  /** The model that an engine carries, or the name of the service. */
  serves: string
  labels: Labels
}

/** What a sidecar measures of one endpoint. */
export interface EndpointLoad {
  name: string
  inFlight: number
  /** How many attempts may run at once. */
  limit: number
  /** Slots that are free and not offered to anybody. */
  spare: number
  /** Recent median time between tokens as the sidecar saw it, in ms; 0 if not known. */
  tokenGapMs: number
  /** Recent median time to the first token, in ms; 0 if not known. */
  firstTokenMs: number
  /** Failures in a row. */
  failuresInRow: number
  /** In-flight work as the engine itself reports it; late, and not to be trusted. */
  reportedInFlight: number
  /** The lowest tier among the streams that may be preempted; -1 if there is none. */
  preemptableTier: number
  /** For how much longer the endpoint wants nothing, by its own word, in ms; none from sidecars of before. */
  backOffMs?: number | undefined
}
