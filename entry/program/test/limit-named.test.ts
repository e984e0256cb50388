// An engine named in its answers that it takes 2 requests a second. Its sidecar passed the answers on and read nothing of it:
// the engine was offered as soon as a slot was free there, and got
// 33 requests and reports of its load within 4 s.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { promptText } from '@gullwall/bench.answers'
import { Deployment } from '@gullwall/bench.deployment'
import { type FakeEngine } from '@gullwall/bench.fake-engine'
import { newOrganisationKey } from '@gullwall/config.records'

const counter = newOrganisationKey('counter')
const records = `
[class.interactive]
tier = 0
firstTokenMs = 400
maxWaitMs = 3000
[organisation.counter]
keys = ["${counter.hash}"]
classes = ["interactive"]
`
const PER_SECOND = 2
const WINDOW_MS = 4000
const MOST = PER_SECOND * WINDOW_MS / 1000
/** What was under way when the limit was named may still arrive for so long, in ms. */
const UNDER_WAY_MS = 500
const SPACING_MS = 40
const PLAY_MS = 13_000

const deployment = new Deployment({
  records,
  entries: [{ box: 'e1', dataCentre: 'east' }, { box: 'e2', dataCentre: 'west' }],
  boxes: ['b1', 'b2', 'b3'].map((box, index) => ({ box, dataCentre: 'east', engines: [{ name: `g${index}`, model: 'parts' }] })),
  speed: { stepMs: 5, perStreamMs: 0.5 }
})
const engine = (name: string): FakeEngine => deployment.engines.get(name) ?? (() => { throw new Error(name) })()
let ids = 0

async function ask (stream: boolean): Promise<number> {
  const id = ++ids
  const answer = await request(`http://${deployment.entryAddress(id)}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${counter.key}`, 'gullwall-class': 'interactive', 'gullwall-repeatable': String(id % 2 === 0) },
    body: JSON.stringify({ model: 'parts', stream, messages: [{ role: 'user', content: promptText(`sheet-${id}`, 4) }] })
  })
  await answer.body.text()
  return answer.statusCode
}

async function askFor (ms: number): Promise<number[]> {
  const replies: Array<Promise<number>> = []
  const endsAt = performance.now() + ms
  while (performance.now() < endsAt) {
    replies.push(ask(true), ask(false))
    await sleep(SPACING_MS)
  }
  return await Promise.all(replies)
}

function busiest (arrivals: readonly number[]): number {
  return Math.max(0, ...arrivals.map((start) => arrivals.filter((at) => at >= start && at < start + WINDOW_MS).length))
}

beforeAll(async () => await deployment.start())
afterAll(async () => await deployment.stop())

describe('an engine behind a sidecar that names a limit of requests a second', () => {
  it('gets no more than that, reports of its load included, and is used up to it', async () => {
    const limited = engine('g0')
    await askFor(300)
    limited.limitPerSecond = PER_SECOND
    const before = limited.asked.length
    const statuses = await askFor(PLAY_MS)
    limited.limitPerSecond = undefined
    const [first] = limited.asked.slice(before)
    expect(first).toBeDefined()
    const counted = limited.asked.map(({ at }) => at).filter((at) => at > (first?.at ?? 0) + UNDER_WAY_MS)
    expect(busiest(counted)).toBeLessThanOrEqual(MOST)
    expect(counted.length).toBeGreaterThan(PER_SECOND * PLAY_MS / 1000 * 2 / 3)
    expect(statuses.filter((status) => status !== 200)).toEqual([])
  }, 30_000)
})
