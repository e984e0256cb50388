/** What checks have in common. */
import { type Journal } from '../journal.ts'

/** A rule that was broken. */
export interface Violation {
  check: string
  at: number
  /** What it concerns, such as a request; a rule counts once for each. */
  subject: string
  what: string
}

/** The times that the rules allow, in ms. */
export interface Bounds {
  /** After its acknowledgement a configuration is in force everywhere. */
  configurationMs: number
  /** After its acknowledgement an engine that leaves gets nothing. */
  leavingMs: number
  evacuationMs: number
  /** What was under way to an engine that asks for rest arrives within this time. */
  underWayMs: number
  /** From then on after an engine first named a limit all gateways keep to it. */
  limitHeardMs: number
  /** A caller that sends later than this after an engine told that it drains has another one. */
  drainMs: number
  /** After its third crash a request is known. */
  knownMs: number
  /** What reached a gateway before it took on a newer version may be decided later, by the older one. */
  crossingMs: number
  /** After its deadline a request has its answer. */
  lateAnswerMs: number
}

export const BOUNDS: Bounds = {
  configurationMs: 4000,
  leavingMs: 3000,
  evacuationMs: 5000,
  underWayMs: 500,
  limitHeardMs: 1500,
  drainMs: 2000,
  knownMs: 3000,
  crossingMs: 250,
  lateAnswerMs: 500
}

export interface CheckInput {
  journal: Journal
  bounds: Bounds
  /** Whether the run is over, so that what has not come will not come. */
  isOver: boolean
  /** From when on nothing was disturbed any more; undefined while faults go on. */
  healedAt: number | undefined
}

export type Check = (input: CheckInput) => Violation[]
