/** Endpoints that start again under the name that they had, and words of lives that have ended. */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { LeaseTable } from '@gullwall/control.registry'
import { silentLogger } from '@gullwall/core.logger'
import { type Lease } from '@gullwall/transport.messages'

const SEED = Number(process.env['FUZZ_SEED'] ?? 40)
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 500)
const LEASE_MS = 12_000

function word (born: number, sequence: number, state: Lease['state'] = 'ready', name = 'e'): Lease {
  return {
    incarnation: `${name}@${born}`,
    life: { name, born },
    service: 'lm',
    address: '10.0.0.1:80',
    dataCentre: 'dc1',
    slots: 4,
    state,
    sequence,
    ageMs: 0
  }
}

function table () {
  const clock = { now: 0 }
  const touched: string[] = []
  const leases = new LeaseTable({
    logger: silentLogger(), leaseMs: LEASE_MS, now: () => clock.now, onTouched: (incarnation) => touched.push(incarnation)
  })
  return { leases, clock, touched }
}

function usable (leases: LeaseTable): string[] {
  return leases.all().map(({ incarnation }) => incarnation).filter((incarnation) => leases.isUsable(incarnation))
}

describe('an endpoint that starts again under its name', () => {
  it('is usable with its first word, though its count begins anew', () => {
    const { leases, touched } = table()
    leases.merge([word(1000, 57)])
    expect(leases.merge([word(2000, 1)])).toEqual(['changed'])
    expect(usable(leases)).toEqual(['e@2000'])
    expect(leases.get('e@1000')).toBeUndefined()
    expect([leases.stateOf('e@1000'), leases.isReplaced('e@1000')]).toEqual(['ready', true])
    expect(touched).toContain('e@1000')
  })

  it('is not ended, nor put back, by late words of the life before', () => {
    const { leases } = table()
    leases.merge([word(1000, 57)])
    leases.merge([word(2000, 1)])
    expect(leases.merge([word(1000, 58), word(1000, 59, 'draining'), word(1000, 60, 'gone')])).toEqual(['stale', 'stale', 'stale'])
    expect(usable(leases)).toEqual(['e@2000'])
  })

  it('is ended by a word that it is gone which names no life, since only the one that is known can be meant', () => {
    const { leases } = table()
    leases.merge([word(2000, 4)])
    const { life: _life, ...unnamed } = word(0, 0, 'gone')
    leases.merge([{ ...unnamed, incarnation: 'e' }])
    expect(usable(leases)).toEqual([])
  })

  it('whose clock stepped back between two lives is taken in once the life that was known has run out', () => {
    const { leases, clock } = table()
    leases.merge([word(9000, 5), word(1, 1, 'ready', 'other')])
    expect(leases.merge([word(4000, 1)])).toEqual(['stale'])
    clock.now = LEASE_MS + 1
    leases.merge([word(1, 2, 'ready', 'other')])
    leases.sweep()
    expect(leases.merge([word(4000, 9)])).toEqual(['changed'])
    expect(leases.isUsable('e@9000')).toBe(false)
  })

  it('keeps a bounded state through ten lives in ten seconds', () => {
    const { leases, clock } = table()
    for (let life = 1; life <= 10; life += 1) {
      clock.now += 1000
      leases.merge([word(1000 * life, 1), word(1000 * life, 2)])
    }
    expect(leases.all().map(({ incarnation }) => incarnation)).toEqual(['e@10000'])
  })

  it(`ends up the same at two processes, whatever they hear in which order (seed ${SEED})`, () => {
    const words = fc.array(fc.record({
      born: fc.constantFrom(1000, 2000, 3000),
      sequence: fc.integer({ min: 1, max: 5 }),
      state: fc.constantFrom<Lease['state']>('ready', 'draining', 'gone')
    }), { minLength: 1, maxLength: 10 })
    fc.assert(fc.property(words, fc.array(fc.nat(), { maxLength: 10 }), (heard, keys) => {
      const told = heard.map(({ born, sequence, state }) => word(born, sequence, state))
      const shuffled = told.map((item, index) => ({ item, key: keys[index] ?? 0 })).sort((left, right) => left.key - right.key)
      const [first, second] = [table().leases, table().leases]
      for (const item of told) first.merge([item])
      for (const { item } of shuffled) second.merge([item])
      expect(usable(second)).toEqual(usable(first))
      const newest = Math.max(...heard.map(({ born }) => born))
      const itsWords = heard.filter(({ born }) => born === newest)
      expect(usable(first)).toEqual(itsWords.every(({ state }) => state === 'ready') ? [`e@${newest}`] : [])
    }), { numRuns: RUNS, seed: SEED })
  })
})
