import { describe, expect, it } from 'vitest'
import { coldGrantBound, GrantLedger, GRANT_USE_MS, MAX_GRANT, SETTLE_MS, SPAN_MS } from '../src/grant-ledger.ts'

const BOUND = 21

/** Creates a ledger that has received an earlier request for the endpoint, so that it grants at time 0. */
function createOpenLedger (): GrantLedger {
  const ledger = new GrantLedger({ opensAt: 0 })
  ledger.grant({ incarnation: 'a', box: 'b1', requests: 0, bounds: [coldGrantBound(BOUND)] }, -SETTLE_MS)
  return ledger
}

const request = (requests = MAX_GRANT, bound = BOUND) => ({ incarnation: 'a', box: 'b1', requests, bounds: [coldGrantBound(bound)] })

describe('GrantLedger', () => {
  it('grants the requested number, up to the largest grant', () => {
    expect(createOpenLedger().grant(request(2), 0)).toEqual({ incarnation: 'a', requests: 2, withinMs: GRANT_USE_MS })
    expect(createOpenLedger().grant(request(100), 0).requests).toBe(MAX_GRANT)
  })

  it('grants the bound within its span, half of it in each half, and returns the retry delay', () => {
    const ledger = createOpenLedger()
    const granted: Array<{ now: number, requests: number }> = []
    for (let now = 0; now < SPAN_MS; now += 50) granted.push({ now, requests: ledger.grant(request(), now).requests })
    const sum = (from: number, to: number) => granted.reduce((all, { now, requests }) => now >= from && now < to ? all + requests : all, 0)
    expect(sum(0, SPAN_MS / 2)).toBe(11)
    expect(sum(0, SPAN_MS)).toBe(BOUND)
    const refused = ledger.grant(request(), SPAN_MS)
    expect(refused.requests).toBe(0)
    expect(ledger.grant(request(), SPAN_MS + refused.withinMs).requests).toBeGreaterThan(0)
  })

  it('grants nothing during the initial delay of an endpoint or before the ledger opens', () => {
    const ledger = new GrantLedger({ opensAt: 5000 })
    expect(ledger.grant(request(), 0)).toEqual({ incarnation: 'a', requests: 0, withinMs: 5000 })
    expect(ledger.grant(request(), 5000).requests).toBe(MAX_GRANT)
    expect(ledger.grant({ ...request(), incarnation: 'b' }, 5000)).toEqual({ incarnation: 'b', requests: 0, withinMs: SETTLE_MS })
    expect(ledger.grant({ ...request(), incarnation: 'b' }, 5000 + SETTLE_MS).requests).toBe(MAX_GRANT)
  })

  it('grants nothing if the bound is below one request', () => {
    expect(createOpenLedger().grant(request(5, 0), 0).requests).toBe(0)
  })

  it('removes an idle endpoint only after its grants no longer count', () => {
    const ledger = createOpenLedger()
    ledger.grant(request(), 0)
    ledger.sweep(SPAN_MS)
    expect(ledger.size).toBe(1)
    ledger.sweep(30_001)
    expect(ledger.size).toBe(0)
  })

  it('applies the initial delay again to an endpoint that became cold again', () => {
    const ledger = new GrantLedger({ opensAt: 0 })
    const reportedCold = (heardAt: number, coldMs: number) => ({ ...request(), word: { heardAt, coldMs } })
    ledger.grant(reportedCold(0, 3000), 0)
    expect(ledger.grant(reportedCold(1000, 2010), SETTLE_MS).requests).toBe(MAX_GRANT)
    // The last status of the same cold period arrives a little after its end because of clock drift.
    expect(ledger.grant(reportedCold(3005, 40), 3050).requests).toBe(MAX_GRANT)
    expect(ledger.grant(reportedCold(8000, 3000), 8050)).toEqual({ incarnation: 'a', requests: 0, withinMs: SETTLE_MS })
    expect(ledger.grant(reportedCold(8000, 3000), 8050 + SETTLE_MS).requests).toBe(MAX_GRANT)
    // The endpoint extends its cold period. The boxes already know that it is cold.
    expect(ledger.grant(reportedCold(10_000, 6000), 12_000).requests).toBe(MAX_GRANT)
  })
})
