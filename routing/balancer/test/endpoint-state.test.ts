import { describe, expect, it } from 'vitest'
import { EndpointState, type SentRequest } from '@gullwall/routing.balancer'

const endpoint = () => new EndpointState({ incarnation: 'i-1', service: 'lm', address: '127.0.0.1:9000', dataCentre: 'dc1', slots: 64 })

function prompt (tokens: number, urgency = 0): SentRequest {
  return { prompt: [{ id: `p-${tokens}`, tokens }], unreadTokens: tokens, urgency, pauseSensitivity: 0, isPauseSensitive: false }
}

describe('a silent endpoint', () => {
  it('has requests in flight and has sent nothing for over a second', () => {
    const state = endpoint()
    expect(state.isSilent(10_000)).toBe(false)
    state.begin(prompt(0), 10_000)
    expect(state.isSilent(11_000)).toBe(false)
    expect(state.isSilent(11_300)).toBe(true)
    state.lastReceivedAt = 11_300
    expect(state.isSilent(12_000)).toBe(false)
  })

  it('gets time for the prefill of the prompts that were sent to it', () => {
    const state = endpoint()
    const long = state.begin(prompt(40_000), 0)
    expect(state.isSilent(5000)).toBe(false)
    expect(state.isSilent(6500)).toBe(true)
    long.hasFirstEvent = true
    state.lastReceivedAt = 5000
    expect(state.isSilent(6500)).toBe(true)
  })
})

describe('the outcome of attempts', () => {
  it('ejects an unreachable endpoint, longer each time, until an attempt succeeds', () => {
    const state = endpoint()
    const fail = (now: number) => state.end(state.begin(prompt(0), now), 'unreachable', now)
    fail(0)
    expect([state.isEjected(400), state.isEjected(600)]).toEqual([true, false])
    fail(1000)
    expect([state.isEjected(1900), state.isEjected(2100)]).toEqual([true, false])
    state.end(state.begin(prompt(0), 3000), 'success', 3000)
    fail(4000)
    expect([state.isEjected(4400), state.isEjected(4600)]).toEqual([true, false])
  })

  it('marks an endpoint as ended if another process has its address', () => {
    const state = endpoint()
    state.end(state.begin(prompt(0), 0), 'ended', 0)
    expect(state.hasEnded).toBe(true)
  })

  it('contributes to the moving average of failures', () => {
    const state = endpoint()
    state.end(state.begin(prompt(0), 0), 'failed', 0)
    expect(state.failureShare).toBeCloseTo(0.2)
    state.end(state.begin(prompt(0), 0), 'neutral', 0)
    expect(state.failureShare).toBeCloseTo(0.2)
    state.end(state.begin(prompt(0), 0), 'success', 0)
    expect(state.failureShare).toBeCloseTo(0.16)
  })
})

describe('the backlog of an endpoint', () => {
  it('includes the requests of all entries that go before or along with a request', () => {
    const state = endpoint()
    state.begin(prompt(1000, 1), 0)
    state.begin(prompt(2000, 4), 0)
    const begun = state.begin(prompt(4000, 1), 0)
    begun.hasFirstEvent = true
    const unread = [{ urgency: 1, tokens: 500 }, { urgency: 7, tokens: 9000 }]
    state.othersLoad = { unread, running: 3, strain: 0.5, sensitive: 0, unreachable: 0 }
    expect([state.tokensAhead(0), state.tokensAhead(1), state.tokensAhead(5), state.backlogTokens]).toEqual([0, 1500, 3500, 12_500])
    expect(state.ownUnread()).toEqual([{ urgency: 1, tokens: 1000 }, { urgency: 4, tokens: 2000 }])
    expect(state.running).toBe(6)
    expect(state.pauseSensitivity).toBe(0.5)
  })
})

describe('a prompt part that was sent to an endpoint', () => {
  it('can be copied only after the prefill of the backlog of all entries', () => {
    const endpoint = new EndpointState({ incarnation: 'i', service: 's', address: '127.0.0.1:1', dataCentre: 'east', slots: 64 })
    const parts = [{ id: 'subject', tokens: 13_000 }]
    endpoint.othersLoad = { unread: [{ urgency: 3, tokens: 90_000 }], running: 9, strain: 0, sensitive: 0, unreachable: 0 }
    endpoint.recordCached(parts, 0)
    expect(endpoint.prefixCache.copyableTokens(parts, 2000)).toBe(0)
    expect(endpoint.prefixCache.copyableTokens(parts, 4000)).toBe(13_000)
  })
})
