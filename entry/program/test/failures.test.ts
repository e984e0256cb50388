import { connect } from 'node:net'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { expectedAnswer, promptText } from '@gullwall/bench.answers'
import { Deployment, until } from '@gullwall/bench.deployment'
import { newOrganisationKey } from '@gullwall/config.records'

const counter = newOrganisationKey('counter')
const records = `
[class.interactive]
tier = 0
firstTokenMs = 400
maxWaitMs = 5000
[class.batch]
tier = 2
firstTokenMs = 20000
betweenTokensMs = 500
maxWaitMs = 60000
late = "serve"
[organisation.counter]
keys = ["${counter.hash}"]
classes = ["interactive", "batch"]
`

interface Answer {
  status: number
  text: string
  done: boolean
  error: { code: string, ran: string } | undefined
  headers: Record<string, unknown>
}

interface AskOptions {
  class?: string
  repeatable?: boolean
  key?: string
  entry?: number
}

describe('failures', () => {
  const deployment = new Deployment({
    controls: 3,
    records,
    entries: [{ box: 'e1', dataCentre: 'east' }, { box: 'e2', dataCentre: 'west' }],
    boxes: [
      { box: 'b1', dataCentre: 'east', engines: [{ name: 'g1', model: 'parts' }] },
      { box: 'b2', dataCentre: 'west', engines: [{ name: 'g2', model: 'parts' }], services: ['orders'] }
    ],
    speed: { stepMs: 5, perStreamMs: 0.5 },
    startLimit: 2,
    maxLimit: 2
  })
  beforeAll(async () => {
    await deployment.start()
    await deployment.awaitRetries('parts', 2)
  })
  afterAll(async () => await deployment.stop())

  async function ask (id: string, tokens: number, options: AskOptions = {}): Promise<Answer> {
    const answer = await request(`http://${deployment.entryAddress(options.entry ?? 0)}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${counter.key}`,
        'gullwall-class': options.class ?? 'interactive',
        'gullwall-repeatable': String(options.repeatable ?? true),
        ...(options.key === undefined ? {} : { 'idempotency-key': options.key })
      },
      body: JSON.stringify({ model: 'parts', stream: true, messages: [{ role: 'user', content: promptText(id, tokens) }] })
    })
    return readAnswer(answer.statusCode, answer.headers, await answer.body.text())
  }

  const runsOf = (id: string) => deployment.ledger.runs.filter((run) => run.id === id)
  const engineOf = async (id: string) => {
    await until(`${id} to run`, () => runsOf(id).some((run) => run.tokens > 2))
    return deployment.engines.get(runsOf(id)[0]?.endpoint ?? '')
  }

  it('a repeatable stream goes on elsewhere when its engine crashes, each token once', async () => {
    const answer = ask('crash-1', 120)
    const engine = await engineOf('crash-1')
    engine?.crash()
    expect(await answer).toMatchObject({ status: 200, done: true, text: expectedAnswer(promptText('crash-1', 120)) })
    expect(runsOf('crash-1').map((run) => run.outcome)).toEqual(['crashed', 'whole'])
    expect(runsOf('crash-1')[1]?.resumedFrom).toBeGreaterThan(0)
  })

  it('a request that may not be repeated runs once, and its caller is told that it ran in part', async () => {
    const answer = ask('crash-2', 120, { repeatable: false })
    const engine = await engineOf('crash-2')
    engine?.crash()
    expect((await answer).error).toMatchObject({ code: 'may_have_run', ran: 'partly' })
    expect(runsOf('crash-2')).toHaveLength(1)
  })

  it('a stream on a frozen engine goes on elsewhere although the engine reports that all is well', async () => {
    const answer = ask('freeze', 120)
    const engine = await engineOf('freeze')
    if (engine !== undefined) engine.lies = true
    engine?.setFault({ kind: 'freeze' })
    expect(await answer).toMatchObject({ done: true, text: expectedAnswer(promptText('freeze', 120)) })
    engine?.setFault({ kind: 'none' })
    if (engine !== undefined) engine.lies = false
  })

  it('a higher tier preempts lower streams, whose callers still get whole answers', async () => {
    const low = Array.from({ length: 4 }, (_, index) => ask(`low-${index}`, 400, { class: 'batch' }))
    await until('all slots to be taken', () => [0, 1, 2, 3].every((index) => runsOf(`low-${index}`).length > 0))
    const high = await ask('high', 5)
    expect(deployment.ledger.runs.filter((run) => run.id.startsWith('low-') && run.outcome === 'whole')).toEqual([])
    expect(high.text).toBe(expectedAnswer(promptText('high', 5)))
    const answers = await Promise.all(low)
    answers.forEach((answer, index) => expect(answer.text).toBe(expectedAnswer(promptText(`low-${index}`, 400))))
    expect([0, 1, 2, 3].some((index) => runsOf(`low-${index}`).length > 1)).toBe(true)
  })

  it('a key that was claimed through one entry does not run through another', async () => {
    const first = await ask('claim', 5, { repeatable: false, key: 'order-17' })
    const second = await ask('claim', 5, { repeatable: false, key: 'order-17', entry: 1 })
    expect(first).toMatchObject({ status: 200, error: undefined, text: expectedAnswer(promptText('claim', 5)) })
    expect(second).toMatchObject({ status: 409, error: { code: 'already_claimed', ran: 'yes' } })
    expect(runsOf('claim')).toHaveLength(1)
  })

  it('bad callers get the right status', async () => {
    const send = async (body: string, path = '/v1/chat/completions') => {
      const answer = await request(`http://${deployment.entryAddress()}${path}`, { method: 'POST', headers: { authorization: `Bearer ${counter.key}` }, body })
      return { status: answer.statusCode, error: (await answer.body.json() as { error: { code: string, ran: string } }).error }
    }
    expect(await send('{"model"')).toMatchObject({ status: 400, error: { code: 'invalid_json', ran: 'no' } })
    expect(await send('{}')).toMatchObject({ status: 400, error: { code: 'invalid_request' } })
    expect(await send('x'.repeat(2 * 1024 * 1024))).toMatchObject({ status: 413, error: { code: 'body_too_large' } })
    expect(await send('{}', '/nowhere')).toMatchObject({ status: 404, error: { code: 'no_such_path' } })
    expect(await send('{}', '/services/none/x')).toMatchObject({ status: 404, error: { code: 'service_not_found' } })
  })

  it('a caller that sends half a body and goes takes nothing with it', async () => {
    const [host = '', port = ''] = deployment.entryAddress().split(':')
    const socket = connect(Number(port), host)
    socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${counter.key}\r\ncontent-length: 1000\r\n\r\n{"mod`)
    await new Promise((resolve) => socket.once('connect', resolve))
    socket.destroy()
    expect(await ask('after-half', 5)).toMatchObject({ done: true })
  })

  it('a planned stop of an entry cuts off nothing', async () => {
    const entry = deployment.entries[1]
    const answers = Array.from({ length: 8 }, (_, index) => ask(`stop-${index}`, 100, { entry: 1, class: 'batch' }))
    await until('a stream to run', () => runsOf('stop-0').length > 0)
    await entry?.stop()
    const texts = (await Promise.all(answers)).map((answer) => answer.text)
    expect(texts).toEqual(texts.map((_, index) => expectedAnswer(promptText(`stop-${index}`, 100))))
  })

  it('without a quorum a claimed request is refused as not run, and others are served', async () => {
    for (const control of deployment.controls.slice(0, 2)) control.get('quorum').kill()
    await until('the quorum to be lost', () => deployment.controls[2]?.get('quorum').role !== 'leader')
    const refused = await ask('no-quorum', 5, { repeatable: false, key: 'order-18' })
    expect(refused).toMatchObject({ status: 503, error: { code: 'no_quorum', ran: 'no' } })
    expect(runsOf('no-quorum')).toHaveLength(0)
    expect(await ask('still-served', 5)).toMatchObject({ status: 200, done: true })
  })
})

function readAnswer (status: number, headers: Record<string, unknown>, body: string): Answer {
  if (status !== 200) return { status, headers, text: '', done: false, error: (JSON.parse(body) as { error: Answer['error'] }).error }
  const events = body.split('\n\n').filter((event) => event.startsWith('data: ')).map((event) => event.slice('data: '.length))
  const chunks = events.filter((event) => event !== '[DONE]').map((event) => JSON.parse(event) as {
    error?: Answer['error'], choices?: Array<{ delta?: { content?: string } }>
  })
  return {
    status,
    headers,
    text: chunks.map((chunk) => chunk.choices?.[0]?.delta?.content ?? '').join(''),
    done: events.at(-1) === '[DONE]',
    error: chunks.find((chunk) => chunk.error !== undefined)?.error
  }
}
