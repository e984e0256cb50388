/** Builds of endpoints in leases: what late words and processes that do not know of builds can't change. */
import { describe, expect, it } from 'vitest'
import { LeaseTable } from '@gullwall/control.registry'
import { silentLogger } from '@gullwall/core.logger'
import { type Lease } from '@gullwall/transport.messages'

function lease (sequence: number, build?: string, more: Partial<Lease> = {}): Lease {
  const known = build === undefined ? {} : { build }
  return { incarnation: 'i-1', service: 'lm', address: '10.0.0.1:80', dataCentre: 'dc1', slots: 4, state: 'ready', sequence, ageMs: 0, ...known, ...more }
}

const table = () => new LeaseTable({ logger: silentLogger(), now: () => 0 })

describe('the build of an endpoint', () => {
  it('is not lost when a process that does not know of builds passes a later heartbeat on', () => {
    const leases = table()
    leases.merge([lease(1, 'v1')])
    leases.merge([lease(2), lease(3, undefined, { state: 'draining' })])
    expect(leases.get('i-1')).toMatchObject({ build: 'v1', state: 'draining', sequence: 3 })
  })

  it('is news once it becomes known, even if the same heartbeat came without it before', () => {
    const leases = table()
    leases.merge([lease(7)])
    expect(leases.merge([lease(7, 'v1')])).toEqual(['changed'])
    expect(leases.get('i-1')?.build).toBe('v1')
    expect(leases.merge([lease(8, 'v1')])).toEqual(['refreshed'])
  })

  it('is not brought back by a late heartbeat of an earlier life', () => {
    const leases = table()
    const life = (born: number) => ({ incarnation: `e@${born}`, life: { name: 'e', born } })
    leases.merge([lease(50, 'v1', life(1000)), lease(1, 'v2', life(2000)), lease(51, 'v1', life(1000))])
    expect(leases.all().map(({ incarnation, build }) => ({ incarnation, build }))).toEqual([{ incarnation: 'e@2000', build: 'v2' }])
  })

  it('survives a restart of the process that stores the lease', () => {
    const leases = table()
    leases.merge([lease(1, 'v1')])
    const restored = table()
    restored.restore(leases.toWire(), 2500)
    restored.merge([lease(2)])
    expect(restored.get('i-1')?.build).toBe('v1')
  })
})
