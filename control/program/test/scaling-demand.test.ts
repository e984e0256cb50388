import { describe, expect, it } from 'vitest'
import { nativeFormat, type RoutingDocument } from '@gullwall/config.document'
import { LeaseTable } from '@gullwall/control.registry'
import { createLogger } from '@gullwall/core.logger'
import { type Lease, type LoadSummary } from '@gullwall/transport.messages'
import { observeDemand } from '../src/scaling-demand.ts'

const logger = createLogger({ program: 'test', box: 'test', level: 'error', write: () => {} })
const scaling = { min: 1, max: 4, bootMs: 5000 }
const route = (name: string, service: string, targetMs: number) => ({
  name,
  host: 'h',
  prefix: `/${name}/`,
  kind: 'stream',
  timeoutMs: 1000,
  targetMs,
  tier: 0,
  split: [{ service, weight: 1 }],
  maxAttempts: 1,
  isPublic: true,
  isResumable: false,
  hasPromptParts: false
})
const document: RoutingDocument = nativeFormat.parse(JSON.stringify({
  version: 1,
  routes: [route('slow', 'lm', 4000), route('quick', 'lm', 800), route('other', 'plain', 100)],
  services: [
    { name: 'lm', healthPath: '/', maxConnections: 9, scaling },
    { name: 'plain', healthPath: '/', maxConnections: 9 }
  ],
  organisations: [],
  limits: {}
})).unsafeCoerce()

const lease = (incarnation: string, service: string, dataCentre: string, state: Lease['state'] = 'ready'): Lease => ({
  incarnation, service, address: `${incarnation}:1`, dataCentre, slots: 8, state, sequence: 1, ageMs: 0
})
const createLoadSummary = (incarnation: string, running: number, tokens: number[]): LoadSummary => ({
  incarnation, running, strain: 0, sensitive: 0, unreachable: 0, unread: tokens.map((count, urgency) => ({ urgency, tokens: count }))
})

describe('observeDemand', () => {
  it('returns the demand by service and data centre, including load at draining endpoints, and omits services without scaling', () => {
    const leases = new LeaseTable({ logger })
    leases.merge([
      lease('a', 'lm', 'dc1'), lease('b', 'lm', 'dc1'), lease('c', 'lm', 'dc1', 'draining'), lease('d', 'lm', 'dc2'),
      lease('e', 'lm', 'dc3', 'gone'), lease('p', 'plain', 'dc1')
    ])
    const results = observeDemand({
      document,
      leases,
      load: {
        loads: [
          createLoadSummary('a', 3, [100, 50]), createLoadSummary('c', 2, [10]), createLoadSummary('d', 1, []),
          createLoadSummary('e', 7, [7]), createLoadSummary('p', 9, [])
        ],
        readings: [{ incarnation: 'a', tokensPerMs: 20, pauseMs: 5 }, { incarnation: 'b', tokensPerMs: 40, pauseMs: 5 }]
      },
      isComplete: true
    })
    const targetWaitMs = 200
    expect(results).toEqual([
      { service: 'lm', dataCentre: 'dc1', scaling, demand: { readyEndpoints: 2, slots: 16, running: 5, unreadTokens: 160, tokensPerMs: 30, targetWaitMs, isComplete: true } },
      { service: 'lm', dataCentre: 'dc2', scaling, demand: expect.objectContaining({ readyEndpoints: 1, slots: 8, running: 1, unreadTokens: 0, targetWaitMs }) }
    ])
    expect(results[1]?.demand.tokensPerMs).toBeGreaterThan(0)
  })
})
