import { describe, expect, it } from 'vitest'
import { createColdGrantBound, GrantLedger, COLD_GRANT_VALID_MS, COLD_MAX_REQUESTS_PER_GRANT, COLD_INITIAL_DELAY_MS, COLD_ACCOUNTING_WINDOW_MS } from '../src/grant-ledger.ts'

const BOUND = 21

/** Creates a ledger that has received an earlier request for the endpoint, so that it grants at time 0. */
function createOpenLedger (): GrantLedger {
  const ledger = new GrantLedger({ startsAt: 0 })
  ledger.grant({ incarnation: 'a', box: 'b1', requests: 0, bounds: [createColdGrantBound(BOUND)] }, -COLD_INITIAL_DELAY_MS)
  return ledger
}

const request = (requests = COLD_MAX_REQUESTS_PER_GRANT, bound = BOUND) => ({ incarnation: 'a', box: 'b1', requests, bounds: [createColdGrantBound(bound)] })

describe('GrantLedger', () => {
  it('grants the requested number, up to the largest grant', () => {
    expect(createOpenLedger().grant(request(2), 0)).toEqual({ incarnation: 'a', requests: 2, withinMs: COLD_GRANT_VALID_MS })
    expect(createOpenLedger().grant(request(100), 0).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
  })

  it('grants the bound within its accounting window, half of it in each half, and returns the retry delay', () => {
    const ledger = createOpenLedger()
    const granted: Array<{ now: number, requests: number }> = []
    for (let now = 0; now < COLD_ACCOUNTING_WINDOW_MS; now += 50) granted.push({ now, requests: ledger.grant(request(), now).requests })
    const sum = (from: number, to: number) => granted.reduce((all, { now, requests }) => now >= from && now < to ? all + requests : all, 0)
    expect(sum(0, COLD_ACCOUNTING_WINDOW_MS / 2)).toBe(11)
    expect(sum(0, COLD_ACCOUNTING_WINDOW_MS)).toBe(BOUND)
    const refused = ledger.grant(request(), COLD_ACCOUNTING_WINDOW_MS)
    expect(refused.requests).toBe(0)
    expect(ledger.grant(request(), COLD_ACCOUNTING_WINDOW_MS + refused.withinMs).requests).toBeGreaterThan(0)
  })

  it('grants nothing during the initial delay of an endpoint or before the ledger opens', () => {
    const ledger = new GrantLedger({ startsAt: 5000 })
    expect(ledger.grant(request(), 0)).toEqual({ incarnation: 'a', requests: 0, withinMs: 5000 })
    expect(ledger.grant(request(), 5000).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
    expect(ledger.grant({ ...request(), incarnation: 'b' }, 5000)).toEqual({ incarnation: 'b', requests: 0, withinMs: COLD_INITIAL_DELAY_MS })
    expect(ledger.grant({ ...request(), incarnation: 'b' }, 5000 + COLD_INITIAL_DELAY_MS).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
  })

  it('grants nothing if the bound is below one request', () => {
    expect(createOpenLedger().grant(request(5, 0), 0).requests).toBe(0)
  })

  it('removes an idle endpoint only after its grants no longer count', () => {
    const ledger = createOpenLedger()
    ledger.grant(request(), 0)
    ledger.sweep(COLD_ACCOUNTING_WINDOW_MS)
    expect(ledger.endpointCount).toBe(1)
    ledger.sweep(30_001)
    expect(ledger.endpointCount).toBe(0)
  })

  it('applies the initial delay again to an endpoint that became cold again', () => {
    const ledger = new GrantLedger({ startsAt: 0 })
    const reportedCold = (receivedAt: number, coldMs: number) => ({ ...request(), coldStatus: { receivedAt, coldMs } })
    ledger.grant(reportedCold(0, 3000), 0)
    expect(ledger.grant(reportedCold(1000, 2010), COLD_INITIAL_DELAY_MS).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
    // The last status of the same cold period arrives a little after its end because of clock drift.
    expect(ledger.grant(reportedCold(3005, 40), 3050).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
    expect(ledger.grant(reportedCold(8000, 3000), 8050)).toEqual({ incarnation: 'a', requests: 0, withinMs: COLD_INITIAL_DELAY_MS })
    expect(ledger.grant(reportedCold(8000, 3000), 8050 + COLD_INITIAL_DELAY_MS).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
    // The endpoint extends its cold period. The boxes already know that it is cold.
    expect(ledger.grant(reportedCold(10_000, 6000), 12_000).requests).toBe(COLD_MAX_REQUESTS_PER_GRANT)
  })
})
