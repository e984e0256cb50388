import { setImmediate as nextTurn } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import { EndpointState } from '@gullwall/routing.balancer'
import { type EntryLoad } from '../src/control-links.ts'
import { type GatewayServices } from '../src/index.ts'
import { LoadExchange } from '../src/load-exchange.ts'

function exchangeWith (endpoint: EndpointState): { exchange: LoadExchange, reports: EntryLoad[] } {
  const reports: EntryLoad[] = []
  const services = {
    settings: { box: 'edge-1' },
    view: { busy: () => [endpoint], get: (incarnation: string) => incarnation === 'i' ? endpoint : undefined, wake: () => {} },
    controlLinks: { reportLoad: (report: EntryLoad) => { reports.push(report); return true } }
  } as unknown as GatewayServices
  return { exchange: new LoadExchange(services), reports }
}

describe('the load summary of an entry', () => {
  const endpoint = () => new EndpointState({ incarnation: 'i', service: 's', address: '127.0.0.1:1', dataCentre: 'east', slots: 64 })

  it('is sent at once for a large prompt, without a timer', async () => {
    const state = endpoint()
    const { exchange, reports } = exchangeWith(state)
    state.begin({ prompt: [], unreadTokens: 5000, urgency: 3, pauseSensitivity: 0, isPauseSensitive: false }, performance.now())
    exchange.recordSent(5000)
    await nextTurn()
    expect(reports).toMatchObject([{ works: [{ incarnation: 'i', unread: [{ urgency: 3, tokens: 5000 }], running: 1 }] }])
  })

  it.each(['unreachable', 'ended'] as const)('is sent at once if an endpoint is %s', async (verdict) => {
    const state = endpoint()
    const { exchange, reports } = exchangeWith(state)
    const sent = state.begin({ prompt: [], unreadTokens: 500, urgency: 3, pauseSensitivity: 0, isPauseSensitive: false }, performance.now())
    state.end(sent, verdict, performance.now())
    exchange.recordUnreachable()
    await nextTurn()
    expect(reports).toMatchObject([{ works: [{ incarnation: 'i', running: 0, unreachable: 1 }] }])
  })

  it('is not sent before the next tick for a small prompt', async () => {
    const state = endpoint()
    const { exchange, reports } = exchangeWith(state)
    state.begin({ prompt: [], unreadTokens: 500, urgency: 3, pauseSensitivity: 0, isPauseSensitive: false }, performance.now())
    exchange.recordSent(500)
    await nextTurn()
    expect(reports).toEqual([])
  })

  it('contains each observation of an engine once, and the readings of control are adopted', async () => {
    const state = endpoint()
    const { exchange, reports } = exchangeWith(state)
    state.prefill.sample(10_000, 0)
    state.prefill.recordPause(320, -1)
    exchange.recordUnreachable()
    await nextTurn()
    expect(reports[0]?.observations).toEqual([{ incarnation: 'i', pauses: [320], reads: [] }])
    expect(state.prefill.takeObservations()).toBeUndefined()
    exchange.adoptReadings({ kind: 'readings', readings: [{ incarnation: 'i', tokensPerMs: 20, pauseMs: 330 }] })
    expect(state.prefill).toMatchObject({ tokensPerMs: 20, pauseMs: 330 })
  })

  it('contains a bounded number of holdings after control was unreachable', async () => {
    const state = endpoint()
    const { exchange, reports } = exchangeWith(state)
    for (let sent = 0; sent < 1500; sent += 1) {
      exchange.recordSending(state, [{ id: `subject-${sent}`, tokens: 13_000 }, { id: 'own', tokens: 10 }])
    }
    exchange.recordUnreachable()
    await nextTurn()
    expect(reports[0]?.holdings).toHaveLength(1000)
    expect(reports[0]?.holdings.at(-1)?.parts[0]?.id).toBe('subject-1499')
  })

  it('of the other entries is kept until a whole message omits the endpoint', () => {
    const state = endpoint()
    const { exchange } = exchangeWith(state)
    const load = { incarnation: 'i', unread: [{ urgency: 3, tokens: 700 }], running: 5, strain: 1.5, sensitive: 0, unreachable: 0 }
    exchange.receive({ kind: 'workSums', whole: false, peers: 0, works: [load], holdings: [{ incarnation: 'i', parts: [{ id: 'subject', tokens: 9 }] }] })
    expect([state.running, state.backlogTokens, state.pauseSensitivity]).toEqual([5, 700, 1.5])
    expect(state.prefixCache.cachedTokens([{ id: 'subject', tokens: 9 }])).toBe(9)
    exchange.receive({ kind: 'workSums', whole: false, peers: 0, works: [], holdings: [] })
    expect(state.running).toBe(5)
    exchange.receive({ kind: 'workSums', whole: true, peers: 0, works: [], holdings: [] })
    expect(state.running).toBe(0)
  })
})
