// A call that its endpoint answers slowly is given up for another endpoint where there is one. A limited endpoint that may be asked
// for counted as one, though control had nothing to grant of it: of three calls one was broken off, and ended with 504 (may have run).
import { afterAll, beforeAll, expect, it, vi } from 'vitest'
import { LimitedDeployment, LimitedEngine } from './limited-engines.ts'

const SLOW_MS = 1300
const slow = new LimitedEngine('i-slow', SLOW_MS)
const limited = new LimitedEngine('i-limited', 10)
const play = new LimitedDeployment([slow, limited])

beforeAll(async () => await play.start(1), 30_000)
afterAll(async () => await play.stop(), 30_000)

it('a call that runs slowly is not given up for a limited endpoint without a grant', async () => {
  const { gateway, control } = play.deployment
  const now = performance.now()
  control.get('registrar').receiveLimits([{ incarnation: limited.incarnation, perSecond: 1, sentAgoMs: 0, heardAgoMs: 0 }])
  gateway.get('view').leases.recordLimit(limited.incarnation, { perSecond: 1, sentAt: now, receivedAt: now })
  vi.spyOn(gateway.get('controlLinks'), 'requestGrants').mockImplementation(async (wishes) => (
    wishes.map(({ incarnation }) => ({ incarnation, requests: 0, withinMs: 20, perSecond: 1 }))
  ))
  const replies = await play.sendFor(110, 20)
  expect(limited.arrivals).toEqual([])
  expect(replies.map(({ status }) => status).filter((status) => status !== 200)).toEqual([])
}, 30_000)
