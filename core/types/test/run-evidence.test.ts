import { describe, expect, it } from 'vitest'
import { isNotRunStatus, RunEvidence, toForwardable } from '@gullwall/core.types'

describe('the evidence about a request', () => {
  it('proves that it has not run if nothing was sent, or each attempt is proven to have not run', () => {
    expect(new RunEvidence().proveNotRun()?.evidence).toBe('unsent')
    const evidence = new RunEvidence()
    evidence.recordSending().recordNotRun()
    const second = evidence.recordSending()
    expect(evidence.proveNotRun()).toBeUndefined()
    second.recordNotRun()
    expect(evidence.proveNotRun()?.evidence).toBe('marked')
  })

  // The state of the last attempt was taken for that of the request.
  it('keeps how far an earlier attempt came', () => {
    const evidence = new RunEvidence()
    expect(evidence.ran).toBe('no')
    evidence.recordSending().recordRun('partly')
    const second = evidence.recordSending()
    expect(evidence.ran).toBe('partly')
    second.recordNotRun()
    expect(evidence.ran).toBe('partly')
    expect(evidence.proveNotRun()).toBeUndefined()
    evidence.recordSending().recordRun('yes')
    expect(evidence.ran).toBe('yes')
  })

  it('issues a proof about this request alone, and lets nothing be sent after it', () => {
    const evidence = new RunEvidence()
    const proof = evidence.proveNotRun()
    expect(proof?.isAbout(evidence)).toBe(true)
    expect(proof?.isAbout(new RunEvidence())).toBe(false)
    expect(evidence.canBeSent).toBe(false)
    expect(() => evidence.recordSending()).toThrow('proven to never run')
  })
})

describe('a status of an endpoint', () => {
  it('can be forwarded unless it would be a promise', () => {
    for (const status of [408, 421, 429, 503]) {
      expect(isNotRunStatus(status)).toBe(true)
      expect(() => toForwardable(status)).toThrow("can't be forwarded")
    }
    for (const status of [200, 400, 409, 500, 502, 504]) expect(toForwardable(status)).toBe(status)
  })
})
