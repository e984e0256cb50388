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
const work = (incarnation: string, running: number, tokens: number[]): LoadSummary => ({
  incarnation, running, strain: 0, sensitive: 0, unreachable: 0, unread: tokens.map((count, urgency) => ({ urgency, tokens: count }))
})

describe('the demand that control sees', () => {
  it('is told by service and data centre, with what still runs where endpoints leave, and none for services without scaling', () => {
    const leases = new LeaseTable({ logger })
    leases.merge([
      lease('a', 'lm', 'dc1'), lease('b', 'lm', 'dc1'), lease('c', 'lm', 'dc1', 'draining'), lease('d', 'lm', 'dc2'),
      lease('e', 'lm', 'dc3', 'gone'), lease('p', 'plain', 'dc1')
    ])
    const seen = observeDemand({
      document,
      leases,
      load: {
        works: [work('a', 3, [100, 50]), work('c', 2, [10]), work('d', 1, []), work('e', 7, [7]), work('p', 9, [])],
        readings: [{ incarnation: 'a', tokensPerMs: 20, pauseMs: 5 }, { incarnation: 'b', tokensPerMs: 40, pauseMs: 5 }]
      },
      isWhole: true
    })
    const aimedWaitMs = 200
    expect(seen).toEqual([
      { service: 'lm', dataCentre: 'dc1', scaling, demand: { ready: 2, slots: 16, running: 5, unreadTokens: 160, tokensPerMs: 30, aimedWaitMs, isWhole: true } },
      { service: 'lm', dataCentre: 'dc2', scaling, demand: expect.objectContaining({ ready: 1, slots: 8, running: 1, unreadTokens: 0, aimedWaitMs }) }
    ])
    expect(seen[1]?.demand.tokensPerMs).toBeGreaterThan(0)
  })
})
