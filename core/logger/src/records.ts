/** The typed log records, by channel. */
import { type ErrorRecord } from '@gullwall/core.error'
import { type NotRunEvidence, type Ran } from '@gullwall/core.types'

/** One decision on one request: where it runs, that it waits, or that it is refused. */
export interface RoutingRecord {
  channel: 'routing'
  decision: 'dispatch' | 'wait' | 'refuse' | 'retry' | 'resume' | 'preempt' | 'finish' | 'cancel'
  requestId: string
  attemptId?: string
  organisation: string
  class: string
  tier: number
  model: string
  /** The chosen endpoint. */
  endpoint?: string
  /** How many endpoints the class may reach, and how many of those were usable. */
  eligible?: number
  usable?: number
  /** The best candidates weighed, with the spare slots that were known. */
  candidates?: CandidateRecord[]
  queuedMs?: number
  ran?: Ran
  why: string
}

export interface CandidateRecord {
  endpoint: string
  spare: number
  local: boolean
}

/** One decision on one request that goes to endpoints directly. */
export interface ForwardRecord {
  channel: 'forward'
  decision: 'dispatch' | 'take-up' | 'retry' | 'resume' | 'stop' | 'refuse' | 'fail' | 'cancel' | 'finish'
  /** The caller's own id; the same in every process and at the endpoint. */
  requestId: string
  /** The request that brought the first event of the stream, if the caller takes one up. */
  resumes?: string
  route: string
  organisation: string
  tier: number
  /** Which attempt it is, from 1. */
  attempt: number
  /** The version of the document that decided, and how long it has been in force here. */
  documentVersion: number
  documentAgeMs: number
  /** Since the request arrived. */
  elapsedMs: number
  /** The incarnation of the endpoint, and how old this process's word of it is. */
  endpoint?: string
  service?: string
  build?: string
  leaseAgeMs?: number
  /** What the choice weighed: cost in ms, foreseen time to the first event, prompt tokens to read there, own requests there. */
  cost?: number
  waitMs?: number
  unreadTokens?: number
  /** Prompt tokens that it copies instead of reading them, and the incarnation that it copies from. */
  copiedTokens?: number
  source?: string
  inFlight?: number
  /** The share of its memory that the requests of all entries there will hold, this one included. */
  memoryShare?: number
  /** At the end of a request: all of its time, that to its first event, and the longest between two events. */
  tookMs?: number
  firstEventMs?: number
  longestPauseMs?: number
  /** Of the head of the latest response: its status, and whether the endpoint marked it as not run. */
  responseStatus?: number
  isMarkedNotRun?: boolean
  /** Why a caller is told that its request has not run; see `gullwall_refusals_total`. */
  evidence?: NotRunEvidence
  /** What marks the end of the latest response: its length, its last chunk, or the end of its connection. */
  framing?: 'length' | 'chunks' | 'connection'
  /** Bytes of a stream behind its last complete event when its latest response ended. */
  incompleteBytes?: number
  /** Of a request that may have crashed an endpoint: the same for the same caller, path and body, whatever the id. */
  fingerprint?: string
  /** The part of the prompt for which the request is refused. */
  part?: string
  why: string
}

/** A change in what a process knows of an endpoint. */
export interface EndpointRecord {
  channel: 'endpoint'
  endpoint: string
  event: 'up' | 'down' | 'leaving' | 'ejected' | 'probing' | 'readmitted' | 'limit' | 'cold' | 'warm' | 'granted' | 'not-granted' | 'refused' | 'notice' | 'foreign' | 'unproven' | 'endless' | 'backs-off' | 'back' | 'limited' | 'unlimited'
  why: string
}

/** The life of a link between two processes. */
export interface LinkRecord {
  channel: 'link'
  event: 'open' | 'closed' | 'refused' | 'malformed' | 'overflow'
  peer: string
  why: string
}

/** Events of the replicated log and of its membership. */
export interface QuorumRecord {
  channel: 'quorum'
  event: 'leader' | 'follower' | 'candidate' | 'snapshot' | 'member' | 'recovered' | 'handover' | 'disk'
  term: number
  why: string
}

/** A configuration coming into force in this process. */
export interface ConfigurationRecord {
  channel: 'configuration'
  event: 'applied' | 'confirmed' | 'accepted' | 'ignored' | 'conflict' | 'refused'
  revision: number
  why: string
}

/** A report of usage to the outside. */
export interface UsageRecord {
  channel: 'usage'
  event: 'reported' | 'postponed' | 'fenced'
  /** The window that is reported; -1 where it concerns none in particular. */
  window: number
  token?: number
  why: string
}

/** An order of endpoints for a service in a data centre: that it was decided, and what became of the call. */
export interface ScalingRecord {
  channel: 'scaling'
  event: 'decided' | 'ordered' | 'postponed' | 'fenced'
  service: string
  dataCentre: string
  /** The number of endpoints that is ordered. */
  desired: number
  /** Counts the orders of this service and data centre. */
  order: number
  token: number
  why: string
}

/** An order to evacuate a data centre or to withdraw that, and its coming into force in a process. */
export interface EvacuationRecord {
  channel: 'evacuation'
  event: 'accepted' | 'ignored' | 'refused' | 'applied'
  dataCentre: string
  /** The number of orders taken for the data centre so far. */
  epoch: number
  why: string
}

/** What is known of requests under which endpoints crash. */
export interface QuarantineRecord {
  channel: 'quarantine'
  /** `crashed`: an endpoint did, with this request running; `held`, `released`: whether it may run; `postponed`: nobody was told. */
  event: 'crashed' | 'held' | 'released' | 'postponed'
  /** The same for the same caller, path and body; empty where it concerns no single request. */
  fingerprint: string
  endpoint?: string
  /** The request that was running, where the line is about one. */
  request?: string
  /** The parts of its prompt, in order. */
  parts?: string[]
  /** The part of prompts that the line is about, as `SERVICE/ID`. */
  part?: string
  /** The only organisation for which the part is held. */
  organisation?: string
  why: string
}

/** Start, stop and failures of a program. */
export interface ProcessRecord {
  channel: 'process'
  event: 'started' | 'restored' | 'stopping' | 'stopped' | 'failed' | 'reloaded' | 'reload-refused' | 'lines-dropped'
  why: string
  address?: string
  error?: ErrorRecord
}

export type LogRecord =
  | RoutingRecord
  | ForwardRecord
  | EndpointRecord
  | LinkRecord
  | QuorumRecord
  | ConfigurationRecord
  | UsageRecord
  | ScalingRecord
  | EvacuationRecord
  | QuarantineRecord
  | ProcessRecord
