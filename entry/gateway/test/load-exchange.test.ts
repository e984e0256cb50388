import { setImmediate as nextTurn } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import { EndpointState } from '@gullwall/routing.balancer'
import { type EntryLoad } from '../src/control-links.ts'
import { type GatewayServices } from '../src/index.ts'
import { LoadExchange } from '../src/load-exchange.ts'

function exchangeWith (endpoint: EndpointState): { exchange: LoadExchange, told: EntryLoad[] } {
  const told: EntryLoad[] = []
  const services = {
    settings: { box: 'edge-1' },
    view: { busy: () => [endpoint], get: (incarnation: string) => incarnation === 'i' ? endpoint : undefined, wake: () => {} },
    controlLinks: { reportLoad: (word: EntryLoad) => { told.push(word); return true } }
  } as unknown as GatewayServices
  return { exchange: new LoadExchange(services), told }
}

describe('the word of what an entry has under way', () => {
  const endpoint = () => new EndpointState({ incarnation: 'i', service: 's', address: '127.0.0.1:1', dataCentre: 'east', slots: 64 })

  it('goes out at once for a prompt that takes long to read, without any timer', async () => {
    const state = endpoint()
    const { exchange, told } = exchangeWith(state)
    state.begin({ prompt: [], unreadTokens: 5000, urgency: 3, pauseSensitivity: 0, isPauseSensitive: false }, performance.now())
    exchange.recordSent(5000)
    await nextTurn()
    expect(told).toMatchObject([{ works: [{ incarnation: 'i', unread: [{ urgency: 3, tokens: 5000 }], running: 1 }] }])
  })

  it.each(['unreachable', 'ended'] as const)('goes out at once for an endpoint that is %s', async (verdict) => {
    const state = endpoint()
    const { exchange, told } = exchangeWith(state)
    const work = state.begin({ prompt: [], unreadTokens: 500, urgency: 3, pauseSensitivity: 0, isPauseSensitive: false }, performance.now())
    state.end(work, verdict, performance.now())
    exchange.recordUnreachable()
    await nextTurn()
    expect(told).toMatchObject([{ works: [{ incarnation: 'i', running: 0, unreachable: 1 }] }])
  })

  it('waits for the next look for a short one', async () => {
    const state = endpoint()
    const { exchange, told } = exchangeWith(state)
    state.begin({ prompt: [], unreadTokens: 500, urgency: 3, pauseSensitivity: 0, isPauseSensitive: false }, performance.now())
    exchange.recordSent(500)
    await nextTurn()
    expect(told).toEqual([])
  })

  it('tells what was seen of how an engine reads once, and takes what control has learnt', async () => {
    const state = endpoint()
    const { exchange, told } = exchangeWith(state)
    state.prefill.sample(10_000, 0)
    state.prefill.recordPause(320, -1)
    exchange.recordUnreachable()
    await nextTurn()
    expect(told[0]?.observations).toEqual([{ incarnation: 'i', pauses: [320], reads: [] }])
    expect(state.prefill.takeObservations()).toBeUndefined()
    exchange.adoptReadings({ kind: 'readings', readings: [{ incarnation: 'i', tokensPerMs: 20, pauseMs: 330 }] })
    expect(state.prefill).toMatchObject({ tokensPerMs: 20, pauseMs: 330 })
  })

  it('keeps a bounded number of holdings while nobody can be told', async () => {
    const state = endpoint()
    const { exchange, told } = exchangeWith(state)
    for (let sent = 0; sent < 1500; sent += 1) {
      exchange.recordSending(state, [{ id: `subject-${sent}`, tokens: 13_000 }, { id: 'own', tokens: 10 }])
    }
    exchange.recordUnreachable()
    await nextTurn()
    expect(told[0]?.holdings).toHaveLength(1000)
    expect(told[0]?.holdings.at(-1)?.parts[0]?.id).toBe('subject-1499')
  })

  it('takes the sums of the others as they are told, until a whole word leaves an endpoint out', () => {
    const state = endpoint()
    const { exchange } = exchangeWith(state)
    const work = { incarnation: 'i', unread: [{ urgency: 3, tokens: 700 }], running: 5, strain: 1.5, sensitive: 0, unreachable: 0 }
    exchange.receive({ kind: 'workSums', whole: false, peers: 0, works: [work], holdings: [{ incarnation: 'i', parts: [{ id: 'subject', tokens: 9 }] }] })
    expect([state.running, state.backlogTokens, state.pauseSensitivity]).toEqual([5, 700, 1.5])
    expect(state.prefixCache.cachedTokens([{ id: 'subject', tokens: 9 }])).toBe(9)
    exchange.receive({ kind: 'workSums', whole: false, peers: 0, works: [], holdings: [] })
    expect(state.running).toBe(5)
    exchange.receive({ kind: 'workSums', whole: true, peers: 0, works: [], holdings: [] })
    expect(state.running).toBe(0)
  })
})
