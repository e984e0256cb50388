// Guards against abandoning a slow call in favour of a limited endpoint for which control grants nothing: the call would end with 504.
import { afterAll, beforeAll, expect, it, vi } from 'vitest'
import { LimitedDeployment, LimitedEngine } from './limited-engines.ts'

const SLOW_MS = 1300
const slow = new LimitedEngine('i-slow', SLOW_MS)
const limited = new LimitedEngine('i-limited', 10)
const scenario = new LimitedDeployment([slow, limited])

beforeAll(async () => await scenario.start(1), 30_000)
afterAll(async () => await scenario.stop(), 30_000)

it('a slow call is not abandoned in favour of a limited endpoint without a grant', async () => {
  const { gateway, control } = scenario.deployment
  const now = performance.now()
  control.get('registrar').receiveLimits([{ incarnation: limited.incarnation, perSecond: 1, sentAgoMs: 0, heardAgoMs: 0 }])
  gateway.get('view').leases.recordLimit(limited.incarnation, { perSecond: 1, sentAt: now, receivedAt: now })
  vi.spyOn(gateway.get('controlLinks'), 'requestGrants').mockImplementation(async (grantRequests) => (
    grantRequests.map(({ incarnation }) => ({ incarnation, requests: 0, withinMs: 20, perSecond: 1 }))
  ))
  const replies = await scenario.sendFor(110, 20)
  expect(limited.arrivals).toEqual([])
  expect(replies.map(({ status }) => status).filter((status) => status !== 200)).toEqual([])
}, 30_000)
