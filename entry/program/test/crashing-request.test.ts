// A request ended each engine that began to run it. Each entry knew an engine only by its sidecar, and each request only by an
// id that is new with every arrival: it went on to the next engine up to six times, and again with the next arrival. The
// lines read, for one request,
//   "decision":"retry" ... "why":"endpoint-failed: the endpoint failed before its answer was whole"
// five times over, each at another engine, and its caller came back to the next entry.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { expectedAnswer, promptText } from '@gullwall/bench.answers'
import { Deployment, until } from '@gullwall/bench.deployment'
import { CRASHING_TEXT } from '@gullwall/bench.fake-engine'
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
const ARRIVALS = 8
/** Between two arrivals of the request, in ms. */
const PAUSE_MS = 300
/** Three engines by which it is known, and what is under way then. */
const MOST_ENDED = 6

function createDeployment (): { lines: string[], deployment: Deployment } {
  const lines: string[] = []
  const deployment = new Deployment({
    records,
    entries: [{ box: 'e1', dataCentre: 'east' }, { box: 'e2', dataCentre: 'west' }],
    boxes: ['b1', 'b2', 'b3', 'b4'].map((box, index) => (
      { box, dataCentre: index % 2 === 0 ? 'east' : 'west', engines: [{ name: `g${index}`, model: 'parts' }] }
    )),
    speed: { stepMs: 5, perStreamMs: 0.5 },
    write: (line) => lines.push(line)
  })
  return { lines, deployment }
}

async function askAt (deployment: Deployment, entry: number, messages: string[]): Promise<{ status: number, text: string, ran: string }> {
  const answer = await request(`http://${deployment.entryAddress(entry)}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${counter.key}`, 'gullwall-class': 'interactive', 'gullwall-repeatable': 'true' },
    body: JSON.stringify({ model: 'parts', stream: false, messages: messages.map((content) => ({ role: 'user', content })) })
  })
  return { status: answer.statusCode, text: await answer.body.text(), ran: String(answer.headers['gullwall-ran']) }
}

describe('a request that ends each engine that runs it', () => {
  const { lines, deployment } = createDeployment()
  beforeAll(async () => await deployment.start())
  afterAll(async () => await deployment.stop())

  const ask = async (entry: number, content: string) => await askAt(deployment, entry, [content])

  const crashing = `${promptText('crash', 20)} ${CRASHING_TEXT}`
  const ended = () => deployment.ledger.runs.filter(({ id, outcome }) => id === 'crash' && outcome === 'crashed').length

  it('is sent no more once three engines have ended under it, whichever entry it comes to', async () => {
    for (let arrival = 0; arrival < ARRIVALS; arrival += 1) {
      await ask(arrival, crashing)
      await sleep(PAUSE_MS)
    }
    expect(ended()).toBeGreaterThanOrEqual(3)
    expect(ended()).toBeLessThanOrEqual(MOST_ENDED)
    const { status, text, ran } = await ask(1, crashing)
    expect({ status, ran }).toEqual({ status: 503, ran: 'no' })
    expect(text).toContain('crashed while this request was running there')
    expect(lines.some((line) => line.includes('"channel":"quarantine","event":"held"'))).toBe(true)
  })

  it('does not keep other requests of the same caller from being served', async () => {
    await until('an engine is back', async () => (await ask(0, promptText('first', 5))).status === 200)
    for (const entry of [0, 1]) {
      const { status, text } = await ask(entry, promptText(`good-${entry}`, 20))
      expect(status).toBe(200)
      expect(text).toContain(expectedAnswer(promptText(`good-${entry}`, 20)))
    }
  })
})

describe('a message that ends each engine that runs a chat with it', () => {
  const { lines, deployment } = createDeployment()
  beforeAll(async () => await deployment.start())
  afterAll(async () => await deployment.stop())

  const ask = async (entry: number, ...messages: string[]) => await askAt(deployment, entry, messages)

  const system = promptText('system', 10)
  const deadly = `${promptText('document', 10)} ${CRASHING_TEXT}`
  const ended = () => deployment.ledger.runs.filter(({ outcome }) => outcome === 'crashed').length

  it('is sent no more after five crashes, whatever else the chats hold, and chats with their other messages are served', async () => {
    for (let arrival = 0; arrival < 24; arrival += 1) {
      await ask(arrival, system, deadly, promptText(`question-${arrival}`, 5))
      await ask(arrival + 1, system, promptText(`sound-${arrival}`, 5))
      await sleep(PAUSE_MS)
    }
    const before = ended()
    expect(lines.some((line) => line.includes('"event":"held"') && line.includes('"part":"parts/'))).toBe(true)
    const { status, text, ran } = await ask(1, system, deadly, promptText('one more', 5))
    expect({ status, ran }).toEqual({ status: 503, ran: 'no' })
    expect(text).toContain('of their prompts were running there')
    for (const entry of [0, 1]) expect((await ask(entry, system, promptText(`good-${entry}`, 20))).status).toBe(200)
    expect(ended()).toBe(before)
  }, 30_000)
})
