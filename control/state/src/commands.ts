/** The commands of the replicated log and their results. */
import { type Mistake } from '@gullwall/config.checker'
import { type RecordChange } from '@gullwall/config.records'
import { type UsageCount } from '@gullwall/transport.messages'
import { type Ran } from '@gullwall/core.types'
import { type Crash, type PartAtCrash, type PartRun } from '@gullwall/routing.quarantine'
import { type StoredEvacuation } from './evacuations.ts'

/** An operator's change. The same operation id again gives the first answer again. */
export interface ApplyCommand {
  type: 'apply'
  operationId: string
  /** The revision the operator saw; none if any will do. */
  expectedRevision: number | null
  changes: RecordChange[]
  operator: string
  /** Wall-clock time for the history; nothing is decided by it. */
  at: string
}

/** Claims a key for a request that must run at most once. */
export interface ClaimCommand {
  type: 'claim'
  key: string
  requestId: string
  holdMs: number
  /** Time of the log in ms; see {@link LogClock}. */
  now: number
}

/** Says what became of a claimed request. */
export interface SettleCommand {
  type: 'settle'
  key: string
  requestId: string
  outcome: Ran
}

/** Brings a routing document; the highest version holds. */
export interface DocumentCommand {
  type: 'document'
  version: number
  /** The document's text, as the operator sent it. */
  text: string
}

/** Decides what is reported of the usage of one window; the first decision of a window holds for good. */
export interface DecideUsageCommand {
  type: 'decide-usage'
  window: number
  counts: UsageCount[]
}

/** Says that the report of a window has been delivered. */
export interface UsageDeliveredCommand {
  type: 'usage-delivered'
  window: number
}

/** An operator's order that a data centre is evacuated, or that it is no longer. */
export interface EvacuateCommand {
  type: 'evacuate'
  dataCentre: string
  isEvacuated: boolean
  /** The epoch of the data centre when the order was last known to be wanted. */
  seen: number
}

/** Decides how many endpoints a service is to have in a data centre. */
export interface DecideScalingCommand {
  type: 'decide-scaling'
  service: string
  dataCentre: string
  desired: number
  /** The number of the order that held when this one was decided; 0 where there was none. */
  seen: number
}

/** An endpoint has announced that it takes no new requests. */
export interface Leave {
  incarnation: string
  state: 'draining' | 'gone'
  /** Whether the endpoint tells its lives; another start of one that does not has the same name. */
  hasLife: boolean
  /** When it was announced, in Unix ms. */
  at: number
}

/**
 * Brings what was seen of endpoints that have ended or are about to: crashes, requests that ran well after they had been running at one
 * that crashed, and leaves. One command brings all of it, since processes of older builds have no result for a command that they do not
 * know, and pass over fields that they do not know.
 */
export interface NoteCrashesCommand {
  type: 'note-crashes'
  /** Processes that do not know of parts ignore them; see {@link Quarantine}. */
  crashes: Array<Crash & { parts?: PartAtCrash[] | undefined }>
  ranWell: string[]
  /** Runs of requests with suspected parts that went well; none from processes that do not know of parts. */
  partRuns?: PartRun[]
  /** Endpoints that leave; none from processes that do not know of leaves. */
  leaves?: Leave[]
}

/** Has the crashes judged that have come in: what a request is to be held for is held from then on. */
export interface JudgeCrashesCommand {
  type: 'judge-crashes'
}

/** Forgets crashes, and lets held requests run again. */
export interface ForgetCrashesCommand {
  type: 'forget-crashes'
  endpoints: string[]
  /** Fingerprints of held requests. */
  requests: string[]
  /** Whether the crashes are still evidence against parts of prompts; processes that do not know of parts have none. */
  keepsParts?: boolean
}

/** The requests that a command has newly held, and those that it has let run again, by fingerprint. */
export interface QuarantineResult {
  held: string[]
  released: string[]
}

export type Command = (
  ApplyCommand | ClaimCommand | SettleCommand | DocumentCommand | DecideUsageCommand | UsageDeliveredCommand | EvacuateCommand |
  DecideScalingCommand | NoteCrashesCommand | JudgeCrashesCommand | ForgetCrashesCommand
)

/** How many endpoints a service is to have in a data centre. */
export interface ScalingOrder {
  service: string
  dataCentre: string
  desired: number
  /** Counts the orders of this service and data centre. */
  number: number
}

/** The order that holds, and whether it is the one that was brought. */
export interface ScalingResult {
  isTaken: boolean
  order: ScalingOrder
}

/** What holds after an order; one that was overtaken by an order of the other kind is not taken and changes nothing. */
export interface EvacuationResult extends StoredEvacuation {
  isTaken: boolean
}

/** What is reported of the usage of one window. */
export interface UsageReport {
  window: number
  counts: UsageCount[]
  isDelivered: boolean
}

/** `version` is the one that holds now; `taken` says whether it is the one that was brought. */
export interface DocumentResult {
  taken: boolean
  version: number
}

/** The record that keeps the routing document, as `{ version, text }`. */
export const DOCUMENT_KEY = 'document/current'

/** What the record of the document holds. */
export interface StoredDocument {
  version: number
  text: string
}

/** How a record differs from what an operator saw. */
export interface Difference {
  key: string
  before: string | null
  after: string | null
}

export type ApplyResult =
  | { type: 'accepted', revision: number }
  | { type: 'conflict', revision: number, operationId: string, operator: string, difference: Difference[] }
  | { type: 'invalid', mistakes: Mistake[] }

export interface ClaimResult {
  granted: boolean
  holder: string
  outcome: string
}

/** One accepted operation, as the history keeps it. */
export interface HistoryEntry {
  revision: number
  operationId: string
  operator: string
  at: string
  difference: Difference[]
}
