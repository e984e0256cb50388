/** Endpoints that have said that they leave, and heartbeats from before that which arrive when their lease has run out. */
import { describe, expect, it } from 'vitest'
import { LeaseTable } from '@gullwall/control.registry'
import { silentLogger } from '@gullwall/core.logger'
import { type Lease } from '@gullwall/transport.messages'

const LEASE_MS = 12_000
const REMEMBERED_MS = 120_000

function word (name: string, sequence: number, state: Lease['state'] = 'ready', born?: number): Lease {
  const life = born === undefined ? undefined : { name, born }
  const incarnation = born === undefined ? name : `${name}@${born}`
  return { incarnation, life, service: 'lm', address: `10.0.0.${name.length}:80`, dataCentre: 'dc1', slots: 4, state, sequence, ageMs: 0 }
}

function table () {
  const clock = { now: 0 }
  const changed: string[] = []
  const leases = new LeaseTable({
    logger: silentLogger(),
    leaseMs: LEASE_MS,
    now: () => clock.now,
    onChange: (all) => changed.push(...all.map(({ incarnation }) => incarnation))
  })
  /** Others are heard meanwhile, so that what is silent runs out. */
  const pass = (ms: number, ...silent: string[]) => {
    clock.now += ms
    leases.merge([word('beside', clock.now)])
    leases.sweep()
    for (const incarnation of silent) expect(leases.get(incarnation), incarnation).toBeUndefined()
  }
  return { leases, clock, changed, pass }
}

describe('an endpoint that has said that it drains', () => {
  it.each([['a heartbeat', (leases: LeaseTable) => { leases.merge([word('e', 5, 'draining', 1000)]) }],
    ['an answer', (leases: LeaseTable) => { leases.recordDraining('e@1000') }]
  ])('in %s takes no work when a heartbeat from before comes after its lease has run out', (_way, say) => {
    const { leases, pass } = table()
    leases.merge([word('e', 4, 'ready', 1000)])
    say(leases)
    expect(leases.isUsable('e@1000')).toBe(false)
    pass(LEASE_MS + 1000, 'e@1000')
    pass(10 * REMEMBERED_MS)
    leases.merge([word('e', 6, 'ready', 1000)])
    expect(leases.get('e@1000')?.state).toBe('draining')
    expect(leases.isUsable('e@1000')).toBe(false)
    // Its next life is another one.
    leases.merge([word('e', 1, 'ready', 2000)])
    expect(leases.isUsable('e@2000')).toBe(true)
  })

  it('in an answer is news once, for all who are told of changes', () => {
    const { leases, changed } = table()
    leases.merge([word('e', 4)])
    changed.length = 0
    expect([leases.recordDraining('e'), leases.recordDraining('e'), leases.recordDraining('unknown')]).toEqual([true, false, false])
    expect(changed).toEqual(['e'])
    leases.merge([word('e', 9)])
    expect(leases.get('e')).toMatchObject({ state: 'draining', sequence: 9 })
  })

  it('before its lease was known here takes no work', () => {
    const { leases } = table()
    leases.recordDraining('e@1000')
    leases.merge([word('e', 4, 'ready', 1000)])
    expect(leases.isUsable('e@1000')).toBe(false)
  })

  it('and tells no lives may start again under its name after two minutes', () => {
    const { leases, pass } = table()
    leases.merge([word('e', 4)])
    leases.recordDraining('e')
    pass(LEASE_MS + 1000, 'e')
    leases.merge([word('e', 5)])
    expect(leases.isUsable('e')).toBe(false)
    pass(LEASE_MS + 1000, 'e')
    pass(REMEMBERED_MS)
    leases.merge([word('e', 1)])
    expect(leases.isUsable('e')).toBe(true)
  })

  it('is remembered in bounded state', () => {
    const { leases } = table()
    for (let index = 0; index < 5000; index += 1) leases.recordDraining(`e-${index}@1`)
    leases.merge([word('e-0', 1, 'ready', 1), word('e-4999', 1, 'ready', 1)])
    expect([leases.get('e-0@1')?.state, leases.get('e-4999@1')?.state]).toEqual(['ready', 'draining'])
  })
})
