/** Guards the guarantees to callers under random outcomes of attempts: number of runs, meaning of a refusal, complete responses. */
import { afterAll, beforeAll, expect, it } from 'vitest'
import fc from 'fast-check'
import { request } from 'undici'
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60)
const SEED = Number(process.env['FUZZ_SEED'] ?? 11)
const EVENTS = 6
const COMPLETE_BODY = 'the complete response'
const MAX_ATTEMPTS = 2

/** How the endpoint ends an attempt; `wrong-id`, `refused-another`, `misdirected-another`: the response has the id of another request. */
type Outcome = 'complete' | 'refused' | 'failed' | 'closed' | 'truncated' | 'wrong-id' | 'refused-another' | 'misdirected-another'
const OUTCOMES: readonly Outcome[] = [
  'complete', 'refused', 'failed', 'closed', 'truncated', 'wrong-id', 'refused-another', 'misdirected-another'
]
const PATHS = ['look-up', 'order', 'draft', 'scan'] as const

interface Arrival {
  outcome: Outcome
  /** Id of the event after which the stream resumes. */
  after: number
}

const arrivals = new Map<string, Arrival[]>()
let plan: readonly Outcome[] = []

function behave (incoming: IncomingMessage, response: ServerResponse): void {
  const id = String(incoming.headers['x-gullwall-request-id'])
  const known = arrivals.get(id) ?? []
  const outcome = plan[known.length] ?? 'complete'
  const after = Number(incoming.headers['last-event-id'] ?? 0)
  arrivals.set(id, [...known, { outcome, after }])
  const isStream = /^\/(draft|scan)\//.test(incoming.url ?? '')
  const head = { 'x-gullwall-request-id': outcome === 'wrong-id' ? 'another' : id }
  const body = isStream ? eventsFrom(after) : COMPLETE_BODY
  switch (outcome) {
    case 'complete':
    case 'wrong-id':
      response.writeHead(200, head).end(body)
      break
    case 'refused':
      response.writeHead(503, { ...head, 'x-gullwall-ran': 'no' }).end()
      break
    case 'refused-another':
      response.writeHead(503, { 'x-gullwall-request-id': 'another', 'x-gullwall-ran': 'no' }).end()
      break
    case 'misdirected-another':
      response.writeHead(421, { 'x-gullwall-request-id': 'another' }).end()
      break
    case 'failed':
      response.writeHead(500, head).end('failed')
      break
    case 'closed':
      response.destroy()
      break
    case 'truncated':
      response.writeHead(200, isStream ? head : { ...head, 'content-length': String(body.length) })
      response.write(isStream ? eventsFrom(after).slice(0, 30) : body.slice(0, 5), () => response.destroy())
  }
}

function eventsFrom (after: number): string {
  return Array.from({ length: EVENTS - after }, (_, index) => `id: ${after + index + 1}\ndata: ${after + index + 1}\n\n`).join('')
}

const endpoints = [new StubEndpoint('i-1', 'app', behave), new StubEndpoint('i-2', 'app', behave), new StubEndpoint('i-3', 'app', behave)]
const deployment = new GatewayDeployment(endpoints)

beforeAll(async () => {
  await deployment.start()
  for (const endpoint of endpoints) await deployment.register(endpoint)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

let ids = 0

interface Reply {
  status: number
  text: string
  /** Whether the response ended normally. */
  isComplete: boolean
}

async function send (path: string, id: string): Promise<Reply> {
  const reply = await request(deployment.url(path), {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id }, body: 'x'
  })
  let text = ''
  try {
    for await (const chunk of reply.body as AsyncIterable<Buffer>) text += chunk.toString()
    return { status: reply.statusCode, text, isComplete: true }
  } catch {
    return { status: reply.statusCode, text, isComplete: false }
  }
}

it(`keeps the guarantees to callers under any outcomes of attempts (seed ${SEED})`, async () => {
  console.log(`seed ${SEED}, ${RUNS} runs`)
  const outcomesOfAttempts = fc.array(fc.constantFrom(...OUTCOMES), { maxLength: 6 })
  await fc.assert(fc.asyncProperty(fc.constantFrom(...PATHS), outcomesOfAttempts, async (kind, outcomes) => {
    const id = `fuzz-${++ids}`
    plan = outcomes
    const reply = await send(`/${kind}/${id}`, id)
    const ran = (arrivals.get(id) ?? []).filter(({ outcome }) => outcome !== 'refused')
    const isOnce = kind === 'order' || kind === 'scan'
    expect(ran.length).toBeLessThanOrEqual(isOnce ? 1 : MAX_ATTEMPTS)
    if (reply.status === 503) expect(ran).toEqual([])
    if (reply.status === 502) expect(ran.length).toBeGreaterThan(0)
    if (reply.status !== 200) return
    expect(ran.length).toBeGreaterThan(0)
    if (kind === 'look-up' || kind === 'order') {
      expect(reply).toMatchObject({ text: COMPLETE_BODY, isComplete: true })
      return
    }
    // Each event arrives once and in order; the response ends normally only if all events have arrived.
    expect(eventsFrom(0).startsWith(reply.text)).toBe(true)
    if (reply.isComplete) expect(reply.text).toBe(eventsFrom(0))
  }), { numRuns: RUNS, seed: SEED })
}, 120_000)
