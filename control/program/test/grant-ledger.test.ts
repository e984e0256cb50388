import { describe, expect, it } from 'vitest'
import { createColdGrantBound, GrantLedger, COLD_GRANT_VALID_MS, COLD_MAX_REQUESTS_PER_GRANT, COLD_INITIAL_DELAY_MS, COLD_ACCOUNTING_WINDOW_MS } from '../src/grant-ledger.ts'

const BOUND = 21

/** A ledger that was asked for the endpoint before, so that it grants from now on. */
function settled (): GrantLedger {
  const ledger = new GrantLedger({ startsAt: 0 })
  ledger.grant({ incarnation: 'a', box: 'b1', requests: 0, bounds: [createColdGrantBound(BOUND)] }, -COLD_INITIAL_DELAY_MS)
  return ledger
}

const ask = (requests = COLD_MAX_REQUESTS_PER_GRANT, bound = BOUND) => ({ incarnation: 'a', box: 'b1', requests, bounds: [createColdGrantBound(bound)] })

describe('the ledger of grants', () => {
  it('grants what is asked for, though no more than one box can use', () => {
    expect(settled().grant(ask(2), 0)).toEqual({ incarnation: 'a', requests: 2, withinMs: COLD_GRANT_VALID_MS })
    expect(settled().grant(ask(100), 0).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
  })

  it('grants the bound within its span, half of it in each half, and says when to ask again', () => {
    const ledger = settled()
    const granted: Array<{ now: number, requests: number }> = []
    for (let now = 0; now < COLD_ACCOUNTING_WINDOW_MS; now += 50) granted.push({ now, requests: ledger.grant(ask(), now).requests })
    const sum = (from: number, to: number) => granted.reduce((all, { now, requests }) => now >= from && now < to ? all + requests : all, 0)
    expect(sum(0, COLD_ACCOUNTING_WINDOW_MS / 2)).toBe(11)
    expect(sum(0, COLD_ACCOUNTING_WINDOW_MS)).toBe(BOUND)
    const refused = ledger.grant(ask(), COLD_ACCOUNTING_WINDOW_MS)
    expect(refused.requests).toBe(0)
    expect(ledger.grant(ask(), COLD_ACCOUNTING_WINDOW_MS + refused.withinMs).requests).toBeGreaterThan(0)
  })

  it('grants nothing of an endpoint at first, nor before it opens', () => {
    const ledger = new GrantLedger({ startsAt: 5000 })
    expect(ledger.grant(ask(), 0)).toEqual({ incarnation: 'a', requests: 0, withinMs: 5000 })
    expect(ledger.grant(ask(), 5000).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
    expect(ledger.grant({ ...ask(), incarnation: 'b' }, 5000)).toEqual({ incarnation: 'b', requests: 0, withinMs: COLD_INITIAL_DELAY_MS })
    expect(ledger.grant({ ...ask(), incarnation: 'b' }, 5000 + COLD_INITIAL_DELAY_MS).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
  })

  it('grants nothing where the bound is below one request', () => {
    expect(settled().grant(ask(5, 0), 0).requests).toBe(0)
  })

  it('forgets an endpoint only once none of its grants count', () => {
    const ledger = settled()
    ledger.grant(ask(), 0)
    ledger.sweep(COLD_ACCOUNTING_WINDOW_MS)
    expect(ledger.endpointCount).toBe(1)
    ledger.sweep(30_001)
    expect(ledger.endpointCount).toBe(0)
  })

  it('grants nothing at first of an endpoint that has turned cold again, of which other boxes have not heard either', () => {
    const ledger = new GrantLedger({ startsAt: 0 })
    const told = (heardAt: number, coldMs: number) => ({ ...ask(), coldStatus: { receivedAt: heardAt, coldMs } })
    ledger.grant(told(0, 3000), 0)
    expect(ledger.grant(told(1000, 2010), COLD_INITIAL_DELAY_MS).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
    // The last word of the same time, a little late by the clock of the endpoint.
    expect(ledger.grant(told(3005, 40), 3050).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
    expect(ledger.grant(told(8000, 3000), 8050)).toEqual({ incarnation: 'a', requests: 0, withinMs: COLD_INITIAL_DELAY_MS })
    expect(ledger.grant(told(8000, 3000), 8050 + COLD_INITIAL_DELAY_MS).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
    // It is cold for longer than it said: whoever asks knows it to be cold all along.
    expect(ledger.grant(told(10_000, 6000), 12_000).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
  })
})
