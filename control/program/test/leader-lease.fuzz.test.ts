import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { LeaderLease, type AcquiredLease } from '../src/leader-lease.ts'

const LEASE_MS = 3000
const SEED = Number(process.env['FUZZ_SEED'] ?? 20_261)
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 300)

interface Act {
  process: number
  token: number
  at: number
}

/** A deployment in which elections, freezes and acts come in any order. */
class Deployment {
  now = 0
  readonly acts: Act[] = []
  private term = 0
  private leader = -1
  private readonly believed: Array<number | undefined> = [undefined, undefined, undefined]
  private readonly frozen = new Set<number>()
  private readonly leases: LeaderLease[]

  constructor () {
    this.leases = this.believed.map((_unused, process) => new LeaderLease({
      leaseMs: LEASE_MS,
      leadingTerm: () => this.believed[process],
      confirmLeadership: async () => { if (process !== this.leader) throw new Error('another one leads') },
      now: () => this.now
    }))
  }

  /** Elects a process; the leader before may not know of it. */
  elect (process: number, tellsOld: boolean): void {
    if (this.frozen.has(process)) return
    if (tellsOld && this.leader >= 0 && this.leader !== process) this.believed[this.leader] = undefined
    this.term += 1
    this.leader = process
    this.believed[process] = this.term
  }

  freeze (process: number): void { this.frozen.add(process) }
  thaw (process: number): void { this.frozen.delete(process) }

  /** Acquires the lease, lets time pass, and acts if the lease still holds. */
  async act (process: number, waitMs: number): Promise<void> {
    if (this.frozen.has(process)) return
    const lease = this.leases[process] as LeaderLease
    const fence: AcquiredLease | undefined = await lease.acquire()
    this.now += waitMs
    if (fence === undefined || this.frozen.has(process) || !lease.isValid(fence)) return
    this.acts.push({ process, token: fence.token, at: this.now })
  }
}

const step = fc.oneof(
  fc.record({ type: fc.constant('elect' as const), process: fc.nat(2), tellsOld: fc.boolean() }),
  fc.record({ type: fc.constantFrom('freeze' as const, 'thaw' as const), process: fc.nat(2) }),
  fc.record({ type: fc.constant('act' as const), process: fc.nat(2), waitMs: fc.nat(4000) }),
  fc.record({ type: fc.constant('pass' as const), ms: fc.nat(5000) })
)

describe('the duty lease', () => {
  it('is never held by two at once, and their tokens differ and rise', async () => {
    let acted = 0
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
      const deployment = new Deployment()
      for (const next of steps) {
        switch (next.type) {
          case 'elect': deployment.elect(next.process, next.tellsOld); break
          case 'freeze': deployment.freeze(next.process); break
          case 'thaw': deployment.thaw(next.process); break
          case 'act': await deployment.act(next.process, next.waitMs); break
          case 'pass': deployment.now += next.ms; break
        }
      }
      acted += deployment.acts.length
      for (const [index, act] of deployment.acts.entries()) {
        for (const later of deployment.acts.slice(index + 1)) {
          if (later.process === act.process) continue
          expect(later.token).toBeGreaterThan(act.token)
          expect(later.at - act.at).toBeGreaterThanOrEqual(LEASE_MS / 2)
        }
      }
    }), { seed: SEED, numRuns: RUNS })
    console.log(`seed ${SEED}: ${acted} acts`)
    expect(acted).toBeGreaterThan(0)
  })

  it('does not act on a lease from before it was suspended, nor wait less for having been', async () => {
    let [now, slept] = [0, 0]
    const lease = new LeaderLease(
      { leaseMs: LEASE_MS, leadingTerm: () => 4, confirmLeadership: async () => {}, now: () => now, suspendedMs: () => slept }
    )
    expect(await lease.acquire()).toBeUndefined()
    slept = 5 * LEASE_MS
    expect(await lease.acquire()).toBeUndefined()
    now = LEASE_MS
    const fence = await lease.acquire() as AcquiredLease
    expect(lease.isValid(fence)).toBe(true)
    slept += LEASE_MS
    expect(lease.isValid(fence)).toBe(false)
    expect(lease.isValid(await lease.acquire() as AcquiredLease)).toBe(true)
  })

  it('is given up for good in a term whose token was refused', async () => {
    let now = 0
    const lease = new LeaderLease({ leaseMs: LEASE_MS, leadingTerm: () => 4, confirmLeadership: async () => {}, now: () => now })
    expect(await lease.acquire()).toBeUndefined()
    now = LEASE_MS
    expect(await lease.acquire()).toEqual({ token: 4, validUntil: 1.5 * LEASE_MS, suspendedMsAtAcquire: 0 })
    lease.recordRefusedToken(4)
    expect(await lease.acquire()).toBeUndefined()
  })
})
