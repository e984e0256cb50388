/** The record of every run on a stand-in: what it cost and how it ended. */

export interface Run {
  /** The id in the request's prompt. */
  id: string
  endpoint: string
  /** Time of the engine that this run took, in ms: its share of each step, and its prefill. */
  engineMs: number
  prefillMs: number
  /** Tokens generated in this run. */
  tokens: number
  /** Tokens that an earlier run had generated. */
  resumedFrom: number
  outcome: 'running' | 'whole' | 'cancelled' | 'crashed'
  /** Whether the opening of the prompt was in the cache. */
  prefixHit: boolean
}

export class Ledger {
  readonly runs: Run[] = []

  begin (run: Omit<Run, 'engineMs' | 'tokens' | 'outcome'>): Run {
    const begun: Run = { ...run, engineMs: run.prefillMs, tokens: 0, outcome: 'running' }
    this.runs.push(begun)
    return begun
  }
}
