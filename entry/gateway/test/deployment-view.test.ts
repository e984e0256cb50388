import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { silentLogger } from '@gullwall/core.logger'
import { type Lease } from '@gullwall/transport.messages'
import { DeploymentView, type DeploymentViewOptions } from '../src/deployment-view.ts'

const SEED = Number(process.env['FUZZ_SEED'] ?? 13)

function createView (): DeploymentView {
  const stubs = { settings: {}, store: { onChange: () => {} }, format: {}, connections: { forget: () => {} }, logger: silentLogger() }
  return new DeploymentView(stubs as unknown as DeploymentViewOptions)
}

function lease (name: number, sequence: number, changes: Partial<Lease> = {}): Lease {
  return {
    incarnation: `i-${name}`, service: 'lm', address: `10.0.0.${name}:80`, dataCentre: 'dc0', slots: 4, state: 'ready', sequence, ageMs: 0, ...changes
  }
}

/** What asking every endpoint gives. */
function asked (view: DeploymentView, names: number): string[] {
  return Array.from({ length: names }, (_, name) => `i-${name}`).filter((incarnation) => (
    view.get(incarnation)?.hasEnded === false && view.leases.isUsable(incarnation)
  ))
}

const usableNames = (view: DeploymentView) => view.usable('lm').map(({ description }) => description.incarnation)

describe('the endpoints that take work', () => {
  it('are those that hold a ready lease and their address, after any words in any order', () => {
    console.log(`seed ${SEED}`)
    const word = fc.record({
      name: fc.integer({ min: 0, max: 7 }),
      host: fc.integer({ min: 0, max: 3 }),
      sequence: fc.integer({ min: 1, max: 6 }),
      state: fc.constantFrom('ready' as const, 'ready' as const, 'draining' as const, 'gone' as const),
      // Below 0, as if it came later: then the sweep finds others that have run out.
      ageMs: fc.integer({ min: -3000, max: 11_000 })
    })
    fc.assert(fc.property(fc.array(fc.array(word, { minLength: 1, maxLength: 3 }), { maxLength: 20 }), (batches) => {
      const view = createView()
      for (const batch of batches) {
        view.leases.merge(batch.map(({ name, host, ...rest }) => lease(name, rest.sequence, { ...rest, address: `10.0.0.${host}:80` })))
        if (batch.length === 3) view.leases.sweep()
        expect([...usableNames(view)].sort()).toEqual(asked(view, 8))
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('are without one whose address another process has, from that answer on', () => {
    const view = createView()
    view.leases.merge([lease(1, 1), lease(2, 1)])
    const endpoint = view.get('i-1')
    const work = endpoint?.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0)
    expect([...view.busy()]).toEqual([endpoint])
    if (work !== undefined) endpoint?.end(work, 'ended', 0)
    expect(usableNames(view)).toEqual(['i-2'])
    view.leases.merge([lease(1, 2)])
    expect(usableNames(view)).toEqual(['i-2'])
  })

  it('are forgotten once they are gone and nothing runs there, and not before', () => {
    const view = createView()
    view.leases.merge([lease(1, 1), lease(2, 1), lease(3, 1)])
    const work = view.get('i-1')?.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0)
    view.leases.merge([lease(1, 2, { state: 'gone' }), lease(2, 2, { state: 'gone' }), lease(3, 2, { state: 'draining' })])
    view.removeGone()
    expect(['i-1', 'i-2', 'i-3'].map((name) => view.get(name) !== undefined)).toEqual([true, false, true])
    if (work !== undefined) view.get('i-1')?.end(work, 'good', 0)
    view.removeGone()
    expect(view.get('i-1')).toBeUndefined()
    expect(view.busy().size).toBe(0)
  })

  it('are looked at all in turn, and those with work in every turn', () => {
    const view = createView()
    view.leases.merge(Array.from({ length: 1000 }, (_, name) => lease(name, 1, { address: `10.0.${name}.1:80` })))
    const busy = view.get('i-999')
    busy?.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0)
    const seen = new Set<unknown>()
    for (let turn = 0; turn < 4; turn += 1) {
      const looked = view.nextScanBatch(0)
      expect(looked.length).toBeLessThanOrEqual(257)
      expect(looked.filter(({ endpoint }) => endpoint === busy)).toEqual([{ endpoint: busy, ticks: 1 }])
      for (const { endpoint } of looked) seen.add(endpoint)
    }
    expect(seen.size).toBe(1000)
  })
})
