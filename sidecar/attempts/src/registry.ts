/**
 * The states of the attempts of this process. An entry may revoke an attempt; the answer `never-started` guarantees that the attempt
 * will never start.
 */

export type AttemptState = 'never-started' | 'started' | 'finished'

/** Time for which an ended attempt is remembered, in ms: longer than any entry waits before it revokes one. */
const REMEMBER_MS = 10 * 60_000
const SWEEP_EVERY = 1000

interface Remembered {
  state: AttemptState
  at: number
}

export class AttemptRegistry {
  private readonly attempts = new Map<string, Remembered>()
  private sinceSweep = 0

  get size (): number {
    return this.attempts.size
  }

  /** Records the start of an attempt, unless it was revoked or has started before. */
  start (attemptId: string): 'started' | 'revoked' | 'duplicate' {
    const known = this.attempts.get(attemptId)
    if (known !== undefined) return known.state === 'never-started' ? 'revoked' : 'duplicate'
    this.remember(attemptId, 'started')
    return 'started'
  }

  /** Records the end of an attempt; one that did not start stays as it is. */
  finish (attemptId: string): void {
    if (this.attempts.get(attemptId)?.state === 'started') this.remember(attemptId, 'finished')
  }

  /** Records that a started attempt did not reach the endpoint. */
  notStarted (attemptId: string): void {
    this.remember(attemptId, 'never-started')
  }

  /** Revokes an attempt unless it has started, and returns its state. */
  revoke (attemptId: string): AttemptState {
    const known = this.attempts.get(attemptId)
    if (known !== undefined) return known.state
    this.remember(attemptId, 'never-started')
    return 'never-started'
  }

  private remember (attemptId: string, state: AttemptState): void {
    this.attempts.set(attemptId, { state, at: performance.now() })
    this.sinceSweep += 1
    if (this.sinceSweep >= SWEEP_EVERY) this.sweep()
  }

  private sweep (): void {
    this.sinceSweep = 0
    const oldest = performance.now() - REMEMBER_MS
    for (const [attemptId, { state, at }] of this.attempts) {
      if (at < oldest && state !== 'started') this.attempts.delete(attemptId)
    }
  }
}
