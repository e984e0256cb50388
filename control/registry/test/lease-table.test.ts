import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { LeaseTable, type KnownLease } from '@gullwall/control.registry'
import { silentLogger } from '@gullwall/core.logger'
import { type Lease } from '@gullwall/transport.messages'

const SEED = Number(process.env['FUZZ_SEED'] ?? 7)

function lease (incarnation: string, sequence: number, state: Lease['state'] = 'ready', ageMs = 0): Lease {
  return { incarnation, service: 'lm', address: '10.0.0.1:80', dataCentre: 'dc1', slots: 4, state, sequence, ageMs }
}

function table (leaseMs = 1000) {
  const clock = { now: 0 }
  const changes: KnownLease[] = []
  const leases = new LeaseTable({ logger: silentLogger(), leaseMs, now: () => clock.now, onChange: (changed) => changes.push(...changed) })
  return { leases, clock, changes }
}

describe('leases', () => {
  it('ignore a heartbeat that arrives late', () => {
    const { leases } = table()
    leases.merge([lease('a', 5, 'draining')])
    expect(leases.merge([lease('a', 4)])).toEqual(['stale'])
    expect(leases.get('a')?.state).toBe('draining')
  })

  it('never go back, whatever the sequence says', () => {
    const { leases } = table()
    leases.merge([lease('a', 5, 'gone'), lease('a', 9)])
    expect(leases.get('a')?.state).toBe('gone')
  })

  it('that were kept over a restart hold for a short time, and longer once a heartbeat comes', () => {
    const { leases, clock } = table()
    leases.restore([lease('a', 5), lease('b', 5), lease('c', 5, 'draining')], 300)
    expect(['a', 'b', 'c'].map((name) => leases.get(name)?.state)).toEqual(['ready', 'ready', 'draining'])
    clock.now = 200
    // The first word is told at once, so that others do not let the lease run out.
    expect(leases.merge([lease('b', 6), lease('c', 6)])).toEqual(['changed', 'changed'])
    leases.sweep()
    expect(leases.get('a')?.state).toBe('ready')
    clock.now = 400
    expect(leases.merge([lease('b', 7)])).toEqual(['refreshed'])
    leases.sweep()
    expect(['a', 'b', 'c'].map((name) => leases.get(name)?.state)).toEqual([undefined, 'ready', 'draining'])
  })

  it('that were kept over a restart stay cold for as long as they said, until a heartbeat comes', () => {
    const { leases, clock } = table()
    const coldLeft = (name: string) => (leases.get(name)?.coldMs ?? 0) + (leases.get(name)?.receivedAt ?? 0) - clock.now
    leases.restore([{ ...lease('a', 5), coldMs: 2000 }, { ...lease('b', 5), coldMs: 0 }], 300)
    expect([coldLeft('a'), leases.get('b')?.coldMs]).toEqual([2000, 0])
    leases.merge([{ ...lease('a', 6), coldMs: 400 }])
    expect(coldLeft('a')).toBe(400)
  })

  it('of an endpoint that has turned cold again are told at once; one that was cold all along is merely refreshed', () => {
    const { leases, clock } = table(10_000)
    leases.merge([{ ...lease('a', 1), coldMs: 3000 }, { ...lease('b', 1), coldMs: 0 }, lease('c', 1)])
    clock.now = 1200
    const next = [{ ...lease('a', 2), coldMs: 1800 }, { ...lease('b', 2), coldMs: 4000 }, { ...lease('c', 2), coldMs: 4000 }]
    expect(leases.merge(next)).toEqual(['refreshed', 'changed', 'changed'])
    clock.now = 2400
    expect(leases.merge([{ ...lease('a', 3), coldMs: 5000 }, { ...lease('b', 3), coldMs: 2800 }])).toEqual(['changed', 'refreshed'])
    expect(leases.get('a')).toMatchObject({ coldMs: 5000, receivedAt: 2400 })
  })

  it('of an endpoint are not used once another incarnation is heard at its address', () => {
    const { leases, clock } = table()
    leases.merge([lease('a', 5), { ...lease('c', 1), address: '10.0.0.2:80' }])
    clock.now = 200
    leases.merge([lease('b', 1)])
    expect(['a', 'b', 'c'].map((name) => leases.isUsable(name))).toEqual([false, true, true])
    // The last heartbeat of the first one arrives late.
    clock.now = 300
    leases.merge([lease('a', 6)])
    clock.now = 400
    leases.merge([lease('b', 2)])
    expect(['a', 'b'].map((name) => leases.isUsable(name))).toEqual([false, true])
    // That the first one is gone says nothing of the second.
    leases.merge([lease('a', 7, 'gone')])
    expect(leases.isUsable('b')).toBe(true)
  })

  it('of successors are used once those before them have run out, also where words come in any order', () => {
    const { leases, clock } = table()
    leases.merge([lease('b', 1, 'ready', 100), lease('a', 5, 'ready', 600)])
    expect(['a', 'b'].map((name) => leases.isUsable(name))).toEqual([false, true])
    leases.merge([lease('b', 2, 'draining')])
    expect(leases.isUsable('b')).toBe(false)
    clock.now = 2000
    leases.merge([{ ...lease('c', 1), address: '10.0.0.2:80' }])
    leases.sweep()
    leases.merge([lease('d', 1)])
    expect(leases.isUsable('d')).toBe(true)
  })

  it('run out when others are heard, and tell nobody', () => {
    const { leases, clock, changes } = table()
    leases.merge([lease('a', 1), lease('b', 1)])
    changes.length = 0
    clock.now = 1500
    leases.merge([lease('b', 2)])
    leases.sweep()
    expect(leases.get('a')).toBeUndefined()
    expect(leases.get('b')?.state).toBe('ready')
    expect(changes).toEqual([])
  })

  it('stay while this process hears of no endpoint at all', () => {
    const { leases, clock } = table()
    leases.merge([lease('a', 1), lease('b', 1)])
    clock.now = 60_000
    leases.sweep()
    expect(leases.all()).toHaveLength(2)
  })

  it(`end alike in whatever order and however often messages arrive (seed ${SEED})`, () => {
    const states = fc.constantFrom<Lease['state']>('ready', 'draining', 'gone')
    const messages = fc.array(fc.tuple(fc.constantFrom('a', 'b'), fc.nat(6), states).map(([id, sequence, state]) => lease(id, sequence, state)))
    fc.assert(fc.property(messages, fc.infiniteStream(fc.nat()), (sent, order) => {
      const inOrder = table().leases
      inOrder.merge(sent)
      const shuffled = table().leases
      const ranked = [...sent, ...sent].map((message) => ({ message, rank: order.next().value }))
      const mixed = ranked.sort((left, right) => left.rank - right.rank)
      for (const { message } of mixed) shuffled.merge([message])
      const view = (held: LeaseTable) => held.all().map(({ incarnation, state, sequence }) => `${incarnation} ${state} ${sequence}`).sort()
      expect(view(shuffled)).toEqual(view(inOrder))
    }), { seed: SEED, numRuns: 300 })
  })

  it('run out at a sweep exactly as passing over all of them tells, whatever was heard when', () => {
    console.log(`seed ${SEED}`)
    const word = fc.record({
      name: fc.integer({ min: 0, max: 5 }),
      waitMs: fc.integer({ min: 0, max: 900 }),
      ageMs: fc.integer({ min: 0, max: 990 }),
      gone: fc.boolean()
    })
    fc.assert(fc.property(fc.array(word, { maxLength: 40 }), (words) => {
      const { leases, clock } = table()
      for (const [index, { name, waitMs, ageMs, gone }] of words.entries()) {
        clock.now += waitMs
        leases.merge([{ ...lease(`i-${name}`, index + 1, gone && name === 0 ? 'gone' : 'ready', ageMs), address: `10.0.0.${name}:80` }])
        const before = leases.all()
        const newest = Math.max(...before.map(({ receivedAt }) => receivedAt))
        const kept = before.filter(({ state, receivedAt }) => state === 'gone' || newest - receivedAt <= 1000)
        leases.sweep()
        expect(leases.all().map(({ incarnation }) => incarnation)).toEqual(kept.map(({ incarnation }) => incarnation))
      }
    }), { seed: SEED, numRuns: 200 })
  })
})
