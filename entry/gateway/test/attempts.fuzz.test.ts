/** Random ends of attempts against the promises to callers: how often a request runs, what a refusal means, whole answers. */
import { afterAll, beforeAll, expect, it } from 'vitest'
import fc from 'fast-check'
import { request } from 'undici'
import { type IncomingMessage, type ServerResponse } from 'node:http'
import { GatewayDeployment, StubEndpoint } from './gateway-deployment.ts'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60)
const SEED = Number(process.env['FUZZ_SEED'] ?? 11)
const EVENTS = 6
const MAX_ATTEMPTS = 2

/** How one attempt ends at the endpoint. */
type End = 'well' | 'refused' | 'failed' | 'closed' | 'cut' | 'another'
const ENDS: readonly End[] = ['well', 'refused', 'failed', 'closed', 'cut', 'another']
const PATHS = ['look-up', 'order', 'draft', 'scan'] as const

interface Arrival {
  end: End
  /** The event after which a stream was to go on. */
  after: number
}

const arrivals = new Map<string, Arrival[]>()
let plan: readonly End[] = []

function behave (incoming: IncomingMessage, response: ServerResponse): void {
  const id = String(incoming.headers['x-gullwall-request-id'])
  const known = arrivals.get(id) ?? []
  const end = plan[known.length] ?? 'well'
  const after = Number(incoming.headers['last-event-id'] ?? 0)
  arrivals.set(id, [...known, { end, after }])
  const isStream = /^\/(draft|scan)\//.test(incoming.url ?? '')
  const head = { 'x-gullwall-request-id': end === 'another' ? 'another' : id }
  const whole = isStream ? eventsFrom(after) : 'the whole answer'
  switch (end) {
    case 'well':
    case 'another':
      response.writeHead(200, head).end(whole)
      break
    case 'refused':
      response.writeHead(503, { 'x-gullwall-ran': 'no' }).end()
      break
    case 'failed':
      response.writeHead(500, head).end('failed')
      break
    case 'closed':
      response.destroy()
      break
    case 'cut':
      response.writeHead(200, isStream ? head : { ...head, 'content-length': String(whole.length) })
      response.write(isStream ? eventsFrom(after).slice(0, 30) : whole.slice(0, 5), () => response.destroy())
  }
}

function eventsFrom (after: number): string {
  return Array.from({ length: EVENTS - after }, (_, index) => `id: ${after + index + 1}\ndata: ${after + index + 1}\n\n`).join('')
}

const standIns = [new StubEndpoint('i-1', 'app', behave), new StubEndpoint('i-2', 'app', behave), new StubEndpoint('i-3', 'app', behave)]
const deployment = new GatewayDeployment(standIns)

beforeAll(async () => {
  await deployment.start()
  for (const standIn of standIns) await deployment.register(standIn)
  await deployment.configure(1)
})
afterAll(async () => await deployment.stop())

let ids = 0

interface Reply {
  status: number
  text: string
  /** Whether the answer ended as it should. */
  isWhole: boolean
}

async function send (path: string, id: string): Promise<Reply> {
  const reply = await request(deployment.url(path), {
    method: 'POST', headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id }, body: 'x'
  })
  let text = ''
  try {
    for await (const chunk of reply.body as AsyncIterable<Buffer>) text += chunk.toString()
    return { status: reply.statusCode, text, isWhole: true }
  } catch {
    return { status: reply.statusCode, text, isWhole: false }
  }
}

it(`keeps what callers are promised, whatever becomes of the attempts (seed ${SEED})`, async () => {
  console.log(`seed ${SEED}, ${RUNS} runs`)
  await fc.assert(fc.asyncProperty(fc.constantFrom(...PATHS), fc.array(fc.constantFrom(...ENDS), { maxLength: 6 }), async (kind, ends) => {
    const id = `fuzz-${++ids}`
    plan = ends
    const reply = await send(`/${kind}/${id}`, id)
    const ran = (arrivals.get(id) ?? []).filter(({ end }) => end !== 'refused')
    const isOnce = kind === 'order' || kind === 'scan'
    expect(ran.length).toBeLessThanOrEqual(isOnce ? 1 : MAX_ATTEMPTS)
    if (reply.status === 503) expect(ran).toEqual([])
    if (reply.status === 502) expect(ran.length).toBeGreaterThan(0)
    if (reply.status !== 200) return
    expect(ran.length).toBeGreaterThan(0)
    if (kind === 'look-up' || kind === 'order') {
      expect(reply).toMatchObject({ text: 'the whole answer', isWhole: true })
      return
    }
    // Each event once and in order; the answer looks whole only if all have come.
    expect(eventsFrom(0).startsWith(reply.text)).toBe(true)
    if (reply.isWhole) expect(reply.text).toBe(eventsFrom(0))
  }), { numRuns: RUNS, seed: SEED })
}, 120_000)
