/** Guards against an answer whose parts two builds of an endpoint have written. */
import { afterEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { expectedAnswer, promptText } from '@gullwall/bench.answers'
import { Deployment } from '@gullwall/bench.deployment'
import { newOrganisationKey } from '@gullwall/config.records'

const TOKENS = 120
const counter = newOrganisationKey('counter')
const records = `
[class.interactive]
tier = 0
firstTokenMs = 400
maxWaitMs = 5000
[organisation.counter]
keys = ["${counter.hash}"]
classes = ["interactive"]
`

let deployment: Deployment

afterEach(async () => await deployment.stop())

/** Has the engine that begins a stream crash within it; gives the events that the caller gets and the engines that ran it. */
async function breakOff (...labels: Array<Record<string, string>>): Promise<{ events: string[], runs: string[] }> {
  deployment = new Deployment({
    records,
    entries: [{ box: 'e1', dataCentre: 'east' }],
    boxes: labels.map((ofEngine, index) => ({
      box: `b${index}`, dataCentre: 'east', engines: [{ name: `g${index}`, model: 'parts', labels: ofEngine }]
    })),
    speed: { stepMs: 5, perStreamMs: 0.5 }
  })
  await deployment.start()
  await deployment.awaitRetries('parts', 2)
  const answer = await request(`http://${deployment.entryAddress(0)}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${counter.key}`, 'gullwall-class': 'interactive', 'gullwall-repeatable': 'true' },
    body: JSON.stringify({ model: 'parts', stream: true, messages: [{ role: 'user', content: promptText('began', TOKENS) }] })
  })
  const { runs } = deployment.ledger
  let text = ''
  // Before its caller has got an event, a stream may begin anew anywhere.
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    if (text === '') deployment.engines.get(runs[0]?.endpoint ?? '')?.crash()
    text += chunk.toString()
  }
  const events = text.split('\n\n').filter((event) => event.startsWith('data: ')).map((event) => event.slice('data: '.length))
  return { events, runs: runs.map(({ endpoint }) => endpoint) }
}

const textOf = (events: readonly string[]) => events.filter((event) => event !== '[DONE]')
  .map((event) => (JSON.parse(event) as { choices?: Array<{ delta?: { content?: string } }> }).choices?.[0]?.delta?.content ?? '').join('')

describe('a stream whose engine crashes', () => {
  it.each([
    ['of another build', { build: 'v1' }, { build: 'v2' }],
    ['that names no build', { build: 'v1' }, { build: '' }],
    ['and neither names its build', { build: '' }, { build: '' }]
  ])('does not go on at an engine %s: its caller sees that it broke off', async (_what, first, second) => {
    const { events, runs } = await breakOff(first, second)
    expect(new Set(runs).size).toBe(1)
    const build = [first, second][Number(runs[0]?.slice(1))]?.build
    // An engine that is back is of its own build still, if it names one.
    if (build !== '' && runs.length > 1) {
      expect(textOf(events)).toBe(expectedAnswer(promptText('began', TOKENS)))
      return
    }
    expect(runs).toHaveLength(1)
    expect(events).not.toContain('[DONE]')
    expect(events.at(-1)).toContain('broken_off')
  })

  it('goes on at an engine of its build', async () => {
    const { events, runs } = await breakOff({ build: 'v1' }, { build: 'v1' }, { build: 'v1' })
    expect(runs).toHaveLength(2)
    expect(textOf(events)).toBe(expectedAnswer(promptText('began', TOKENS)))
    expect(events).toContain('[DONE]')
  })
})
