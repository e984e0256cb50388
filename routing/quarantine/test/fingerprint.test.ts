import { describe, expect, it } from 'vitest'
import { computeFingerprint } from '../src/index.ts'

const request = { organisation: 'workshop', method: 'POST', path: '/draft/1?x=2', body: Buffer.from('a note') }

describe('the fingerprint of a request', () => {
  it('is the same for the same caller, path and body', () => {
    expect(computeFingerprint({ ...request, body: Buffer.from('a note') })).toBe(computeFingerprint(request))
  })

  it.each([
    ['another caller', { organisation: 'bakery' }],
    ['no caller', { organisation: undefined }],
    ['another method', { method: 'PUT' }],
    ['another path', { path: '/draft/1?x=3' }],
    ['another body', { body: Buffer.from('a note.') }],
    ['no body', { body: undefined }],
    ['a part that runs over into the next', { organisation: 'workshopP', method: 'OST' }]
  ])('differs for %s', (_what, change) => {
    expect(computeFingerprint({ ...request, ...change })).not.toBe(computeFingerprint(request))
  })
})
