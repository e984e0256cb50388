/** Guards against promises to callers that no evidence supports. */
import { describe, expect, it } from 'vitest'
import { type ServerResponse } from 'node:http'
import { isNotRunStatus, RunEvidence, toForwardable } from '@gullwall/core.types'
import { CallerResponse } from '../src/caller-response.ts'
import { nativeDialect } from '../src/native-dialect.ts'
import { recordResponse } from '../src/run-evidence.ts'

const refusal = { status: 503, code: 'ERR_GULLWALL_REFUSED', message: 'full', retryAfterMs: 300 } as const

describe('the proof that a request has not run', () => {
  it('is given as long as no byte was sent, and forbids to send the request afterwards', () => {
    const evidence = new RunEvidence()
    expect(evidence.proveNotRun()?.evidence).toBe('unsent')
    expect(evidence.canBeSent).toBe(false)
    expect(() => evidence.recordSending()).toThrow('never run')
  })

  it('is not given once the first byte was sent, before any response', () => {
    const evidence = new RunEvidence()
    evidence.recordSending()
    expect(evidence.mayHaveRun).toBe(true)
    expect(evidence.proveNotRun()).toBeUndefined()
    expect(evidence.canBeSent).toBe(true)
  })

  it.each([
    [503, true, true], [429, true, true], [408, true, true], [421, true, true], [400, true, true], [500, true, true],
    [503, false, false], [429, false, false], [408, false, false], [421, false, false],
    [200, true, false], [204, true, false], [302, true, false]
  ])('of a response with %i, marked: %s, is given: %s', (status, isMarkedNotRun, isProof) => {
    const evidence = new RunEvidence()
    recordResponse(evidence.recordSending(), { status, isMarkedNotRun })
    expect(evidence.proveNotRun()?.evidence).toBe(isProof ? 'marked' : undefined)
  })

  it('needs the mark of each endpoint that received the request', () => {
    const evidence = new RunEvidence()
    const [first, second] = [evidence.recordSending(), evidence.recordSending()]
    recordResponse(first, { status: 503, isMarkedNotRun: true })
    expect(evidence.proveNotRun()).toBeUndefined()
    recordResponse(second, { status: 503, isMarkedNotRun: true })
    expect(evidence.proveNotRun()).toBeDefined()
  })
})

describe('a response head', () => {
  it('with two ids or two marks belongs to no request and proves nothing', () => {
    const head = nativeDialect.readResponse(503, { 'x-gullwall-request-id': ['a', 'b'], 'x-gullwall-ran': ['no', 'yes'] })
    expect(['a', 'b', '', undefined]).not.toContain(head.requestId)
    expect(head.isNotRun).toBe(false)
  })

  it('that repeats one id and one mark is that of the request', () => {
    const head = nativeDialect.readResponse(503, { 'x-gullwall-request-id': ['a', 'a'], 'x-gullwall-ran': ['no', 'no'] })
    expect(head).toMatchObject({ requestId: 'a', isNotRun: true })
  })
})

describe('a status that is a promise', () => {
  it('is not forwarded from an endpoint', () => {
    for (let status = 200; status < 600; status += 1) {
      if (isNotRunStatus(status)) expect(() => toForwardable(status)).toThrow('can\'t be forwarded')
      else expect(toForwardable(status)).toBe(status)
    }
    expect([408, 421, 429, 503].every(isNotRunStatus)).toBe(true)
  })

  it('is not written with the proof of another request', () => {
    const response = new CallerResponse({} as ServerResponse, 'r-1', () => false)
    const proof = new RunEvidence().proveNotRun()
    if (proof === undefined) throw new Error('no proof')
    expect(() => response.refuse(refusal, proof)).toThrow('another request')
  })
})
