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

/** Returns the usable endpoints by checking each of them. */
function checkEach (view: DeploymentView, names: number): string[] {
  return Array.from({ length: names }, (_, name) => `i-${name}`).filter((incarnation) => (
    view.get(incarnation)?.hasEnded === false && view.leases.isUsable(incarnation)
  ))
}

const usableNames = (view: DeploymentView) => view.usable('lm').map(({ description }) => description.incarnation)

describe('the usable endpoints', () => {
  it('are those with a ready lease and their own address, after any leases in any order', () => {
    console.log(`seed ${SEED}`)
    const leaseChange = fc.record({
      name: fc.integer({ min: 0, max: 7 }),
      host: fc.integer({ min: 0, max: 3 }),
      sequence: fc.integer({ min: 1, max: 6 }),
      state: fc.constantFrom('ready' as const, 'ready' as const, 'draining' as const, 'gone' as const),
      // A negative age stands for a later arrival, after which the sweep finds other leases expired.
      ageMs: fc.integer({ min: -3000, max: 11_000 })
    })
    fc.assert(fc.property(fc.array(fc.array(leaseChange, { minLength: 1, maxLength: 3 }), { maxLength: 20 }), (batches) => {
      const view = createView()
      for (const batch of batches) {
        view.leases.merge(batch.map(({ name, host, ...rest }) => lease(name, rest.sequence, { ...rest, address: `10.0.0.${host}:80` })))
        if (batch.length === 3) view.leases.sweep()
        expect([...usableNames(view)].sort()).toEqual(checkEach(view, 8))
      }
    }), { seed: SEED, numRuns: 300 })
  })

  it('exclude an endpoint as soon as an answer shows that another process has its address', () => {
    const view = createView()
    view.leases.merge([lease(1, 1), lease(2, 1)])
    const endpoint = view.get('i-1')
    const inFlightRequest = endpoint?.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0)
    expect([...view.busy()]).toEqual([endpoint])
    if (inFlightRequest !== undefined) endpoint?.end(inFlightRequest, 'ended', 0)
    expect(usableNames(view)).toEqual(['i-2'])
    view.leases.merge([lease(1, 2)])
    expect(usableNames(view)).toEqual(['i-2'])
  })

  it('are removed only once they are gone and have no requests in flight', () => {
    const view = createView()
    view.leases.merge([lease(1, 1), lease(2, 1), lease(3, 1)])
    const inFlightRequest = view.get('i-1')?.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0)
    view.leases.merge([lease(1, 2, { state: 'gone' }), lease(2, 2, { state: 'gone' }), lease(3, 2, { state: 'draining' })])
    view.removeGone()
    expect(['i-1', 'i-2', 'i-3'].map((name) => view.get(name) !== undefined)).toEqual([true, false, true])
    if (inFlightRequest !== undefined) view.get('i-1')?.end(inFlightRequest, 'success', 0)
    view.removeGone()
    expect(view.get('i-1')).toBeUndefined()
    expect(view.busy().size).toBe(0)
  })

  it('are all checked in turn, and busy ones at every tick', () => {
    const view = createView()
    view.leases.merge(Array.from({ length: 1000 }, (_, name) => lease(name, 1, { address: `10.0.${name}.1:80` })))
    const busy = view.get('i-999')
    busy?.begin({ prompt: [], unreadTokens: 0, urgency: 0, pauseSensitivity: 0, isPauseSensitive: false }, 0)
    const checked = new Set<unknown>()
    for (let tick = 0; tick < 4; tick += 1) {
      const batch = view.nextScanBatch(0)
      expect(batch.length).toBeLessThanOrEqual(257)
      expect(batch.filter(({ endpoint }) => endpoint === busy)).toEqual([{ endpoint: busy, ticks: 1 }])
      for (const { endpoint } of batch) checked.add(endpoint)
    }
    expect(checked.size).toBe(1000)
  })
})
