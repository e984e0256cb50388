import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { LeaderLease, type AcquiredLease } from '../src/leader-lease.ts'

const LEASE_MS = 3000
const SEED = Number(process.env['FUZZ_SEED'] ?? 20_261)
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 300)

interface Action {
  process: number
  token: number
  at: number
}

/** A deployment in which elections, freezes and actions occur in any order. */
class Deployment {
  now = 0
  readonly actions: Action[] = []
  private term = 0
  private leader = -1
  private readonly believedTerms: Array<number | undefined> = [undefined, undefined, undefined]
  private readonly frozen = new Set<number>()
  private readonly leases: LeaderLease[]

  constructor () {
    this.leases = this.believedTerms.map((_unused, process) => new LeaderLease({
      leaseMs: LEASE_MS,
      leadingTerm: () => this.believedTerms[process],
      confirmLeadership: async () => { if (process !== this.leader) throw new Error('another process leads') },
      now: () => this.now
    }))
  }

  /** Elects a process. The previous leader may not learn of the election. */
  elect (process: number, notifiesOldLeader: boolean): void {
    if (this.frozen.has(process)) return
    if (notifiesOldLeader && this.leader >= 0 && this.leader !== process) this.believedTerms[this.leader] = undefined
    this.term += 1
    this.leader = process
    this.believedTerms[process] = this.term
  }

  freeze (process: number): void { this.frozen.add(process) }
  thaw (process: number): void { this.frozen.delete(process) }

  /** Acquires the lease, waits, and acts if the lease is still valid. */
  async perform (process: number, waitMs: number): Promise<void> {
    if (this.frozen.has(process)) return
    const lease = this.leases[process] as LeaderLease
    const acquiredLease: AcquiredLease | undefined = await lease.acquire()
    this.now += waitMs
    if (acquiredLease === undefined || this.frozen.has(process) || !lease.isValid(acquiredLease)) return
    this.actions.push({ process, token: acquiredLease.token, at: this.now })
  }
}

const step = fc.oneof(
  fc.record({ type: fc.constant('elect' as const), process: fc.nat(2), notifiesOldLeader: fc.boolean() }),
  fc.record({ type: fc.constantFrom('freeze' as const, 'thaw' as const), process: fc.nat(2) }),
  fc.record({ type: fc.constant('act' as const), process: fc.nat(2), waitMs: fc.nat(4000) }),
  fc.record({ type: fc.constant('pass' as const), ms: fc.nat(5000) })
)

describe('LeaderLease', () => {
  it('is never valid in two processes at once, and tokens differ and increase', async () => {
    let actionCount = 0
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
      const deployment = new Deployment()
      for (const next of steps) {
        switch (next.type) {
          case 'elect': deployment.elect(next.process, next.notifiesOldLeader); break
          case 'freeze': deployment.freeze(next.process); break
          case 'thaw': deployment.thaw(next.process); break
          case 'act': await deployment.perform(next.process, next.waitMs); break
          case 'pass': deployment.now += next.ms; break
        }
      }
      actionCount += deployment.actions.length
      for (const [index, action] of deployment.actions.entries()) {
        for (const later of deployment.actions.slice(index + 1)) {
          if (later.process === action.process) continue
          expect(later.token).toBeGreaterThan(action.token)
          expect(later.at - action.at).toBeGreaterThanOrEqual(LEASE_MS / 2)
        }
      }
    }), { seed: SEED, numRuns: RUNS })
    console.log(`seed ${SEED}: ${actionCount} actions`)
    expect(actionCount).toBeGreaterThan(0)
  })

  it('expires during a suspension, and a suspension does not shorten the wait for the lease', async () => {
    let [now, suspended] = [0, 0]
    const lease = new LeaderLease(
      { leaseMs: LEASE_MS, leadingTerm: () => 4, confirmLeadership: async () => {}, now: () => now, suspendedMs: () => suspended }
    )
    expect(await lease.acquire()).toBeUndefined()
    suspended = 5 * LEASE_MS
    expect(await lease.acquire()).toBeUndefined()
    now = LEASE_MS
    const acquiredLease = await lease.acquire() as AcquiredLease
    expect(lease.isValid(acquiredLease)).toBe(true)
    suspended += LEASE_MS
    expect(lease.isValid(acquiredLease)).toBe(false)
    expect(lease.isValid(await lease.acquire() as AcquiredLease)).toBe(true)
  })

  it('can not be acquired again in a term whose token was refused', async () => {
    let now = 0
    const lease = new LeaderLease({ leaseMs: LEASE_MS, leadingTerm: () => 4, confirmLeadership: async () => {}, now: () => now })
    expect(await lease.acquire()).toBeUndefined()
    now = LEASE_MS
    expect(await lease.acquire()).toEqual({ token: 4, validUntil: 1.5 * LEASE_MS, suspendedMsAtAcquire: 0 })
    lease.recordRefusedToken(4)
    expect(await lease.acquire()).toBeUndefined()
  })
})
