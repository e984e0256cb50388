import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { until } from '@gullwall/bench.deployment'
import { formatStoryLine, readLines, buildStory, type StoryLine } from '@gullwall/cli.story'
import { GatewayDeployment, StubEndpoint, type Behaviour } from '../../../entry/gateway/test/gateway-deployment.ts'

const first = new StubEndpoint('i-first', 'app')
const second = new StubEndpoint('i-second', 'app')
const deployment = new GatewayDeployment([first, second])

let ids = 0

interface Told {
  status: number
  story: StoryLine[]
}

/** Sends a request and gives its status with its story, from the lines alone. */
async function storyOf (path: string, headers: Record<string, string> = {}, body?: string): Promise<Told> {
  const id = `story-${++ids}`
  const reply = await request(deployment.url(path), {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: 'Bearer secret', 'x-gullwall-request-id': id, ...headers },
    body
  })
  await reply.body.text().catch(() => '')
  return { status: reply.statusCode, story: buildStory(readLines(deployment.logLines.join('\n')).lines, id) }
}

function behave (behaviour: Behaviour): void {
  first.behaviour = behaviour
  second.behaviour = behaviour
}

const own = (story: readonly StoryLine[]) => story.filter(({ isOwn }) => isOwn)

beforeAll(async () => {
  await deployment.start()
  for (const standIn of [first, second]) await deployment.register(standIn)
  await deployment.configure(1)
  await deployment.awaitRegionLink()
})
afterAll(async () => await deployment.stop())

describe('the cause of a failed request, from the lines alone', () => {
  it('an answer that was lost, to a call that may not be repeated', async () => {
    behave((_incoming, response) => { response.destroy() })
    const { status, story } = await storyOf('/order/1', {}, 'x')
    expect(status).toBe(502)
    expect(own(story).map(({ what }) => what)).toEqual(['dispatch', 'fail'])
    const [dispatch, failure] = own(story)
    const endpoint = /endpoint (i-\w+)/.exec(dispatch?.why ?? '')?.[1] ?? 'none'
    expect(failure?.why).toContain('ERR_GULLWALL_UNKNOWN_OUTCOME')
    expect(failure?.why).toContain(endpoint)
    // What was believed of that endpoint stands before it.
    expect(story.some(({ isOwn, what, why, sinceMs }) => !isOwn && what === 'endpoint up' && why.includes(endpoint) && sinceMs <= 0)).toBe(true)
  })

  it.each([
    ['the wait that was foreseen', { tokens: 900_000, running: 1 }, /the first event would take \d+ ms of 400/],
    ['that all slots are taken', { tokens: 0, running: 9 }, /the slots of all endpoints are taken/]
  ])('a refusal, with %s', async (_what, { tokens, running }, why) => {
    const unread = [{ urgency: 0, tokens }]
    const works = [first, second].map(({ incarnation }) => ({ incarnation, unread, running, strain: 0, sensitive: 0, unreachable: 0 }))
    deployment.gateway.get('loadExchange').receive({ kind: 'workSums', whole: false, peers: 0, works, holdings: [] })
    const { status, story } = await storyOf('/draft/1', { 'x-gullwall-prompt-parts': 'subject:5000,own:900' })
    expect(status).toBe(503)
    expect(own(story).at(-1)).toMatchObject({ what: 'refuse' })
    expect(own(story).at(-1)?.why).toMatch(why)
    deployment.gateway.get('loadExchange').receive({ kind: 'workSums', whole: true, peers: 0, works: [], holdings: [] })
  })

  it('a stream that broke off and could not go on', async () => {
    behave((incoming, response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
      response.write('id: 1\ndata: 1\n\n', () => response.destroy())
    })
    const { story } = await storyOf('/draft/2')
    expect(own(story).map(({ what }) => what)).toEqual(['dispatch', 'resume', 'dispatch', 'fail'])
    expect(own(story).at(-1)?.why).toContain('2 of 2 attempts made')
  })

  it('a stream that another request took up, with the build that began it and who knew it', async () => {
    behave((incoming, response) => {
      const last = Number(incoming.headers['last-event-id'] ?? 0)
      response.writeHead(200, { 'content-type': 'text/event-stream', 'x-gullwall-request-id': String(incoming.headers['x-gullwall-request-id']) })
      response.end(last > 0 ? 'id: 2\ndata: 2\n\n' : 'id: 1\ndata: 1\n\n')
    })
    const headers = (id: string) => ({ authorization: 'Bearer secret', 'x-gullwall-request-id': id })
    const send = async (id: string, more: Record<string, string>) => {
      await (await request(deployment.url('/draft/4'), { headers: { ...headers(id), ...more } })).body.text()
    }
    await send('began', {})
    await send('taken-up', { 'x-gullwall-resumes': 'began', 'last-event-id': '1' })
    for (const id of ['began', 'taken-up']) {
      const told = own(buildStory(readLines(deployment.logLines.join('')).lines, id))
      expect(told.map(({ what }) => what)).toEqual(['dispatch', 'finish', 'take-up', 'dispatch', 'finish'])
      expect(told.find(({ what }) => what === 'take-up')?.why).toContain('goes on at build v1 of app, according to this gateway')
      expect(told[0]?.why).toContain('build v1')
    }
  })

  it('a refusal, since its only data centre is evacuated, with when that came into force', async () => {
    const caller = { isDisconnected: false, detectDisconnect: async () => false }
    const order = async (isEvacuated: boolean) => {
      await deployment.control.get('evacuations').order({ dataCentre: 'dc1', isEvacuated, caller })
      await until('the order in force', () => deployment.gateway.get('evacuatedDataCentres').isEvacuated('dc1') === isEvacuated)
    }
    await order(true)
    const { status, story } = await storyOf('/order/3', {}, 'x')
    await order(false)
    expect(status).toBe(503)
    expect(own(story).at(-1)).toMatchObject({ what: 'refuse' })
    expect(own(story).at(-1)?.why).toContain('data centre dc1 is evacuated')
    const applied = story.findIndex(({ isOwn, what, why }) => !isOwn && what === 'evacuation applied' && why.startsWith('dc1: evacuated'))
    expect(applied).toBeGreaterThanOrEqual(0)
    expect(applied).toBeLessThan(story.findIndex(({ isOwn }) => isOwn))
  })

  it('an evacuation that came into force long before', () => {
    const at = (second: string) => `2026-01-01T${second}.000Z`
    const order = { time: at('00:00:00'), box: 'edge-1', channel: 'evacuation', event: 'applied', dataCentre: 'dc1', epoch: 1, why: 'evacuated' }
    const refusal = { time: at('05:00:00'), box: 'edge-1', channel: 'forward', decision: 'refuse', requestId: 'r-1', why: '503' }
    const { lines } = readLines([order, refusal].map((line) => JSON.stringify(line)).join('\n'))
    expect(buildStory(lines, 'r-1').map(({ what }) => what)).toEqual(['evacuation applied', 'refuse'])
  })

  it('a belief that is old: the document, the word of the endpoint, and a link that was lost', async () => {
    await deployment.control.stop()
    behave((_incoming, response) => { response.destroy() })
    const { story } = await storyOf('/order/2', {}, 'x')
    expect(own(story)[0]?.why).toMatch(/document 1 in force for \d+ ms; endpoint i-\w+, heard \d+ ms ago/)
    expect(story.some(({ what }) => what === 'link closed')).toBe(true)
  })
})

describe('reading of lines', () => {
  it('passes over what a collector puts before a line, and counts what is no line', () => {
    const text = ' 12.3 edge-1 {"time":"2026-01-01T00:00:00.000Z","box":"edge-1","channel":"process","event":"started","why":"x"}\nno line\n{"a":1}\n\n'
    const { lines, skipped } = readLines(text)
    expect(lines).toHaveLength(1)
    expect(skipped).toBe(2)
  })

  it('gives nothing for a request that no line names, and lines that a person can read', () => {
    expect(buildStory([], 'r-1')).toEqual([])
    const line = { time: '2026-01-01T00:00:00.000Z', box: 'edge-1', sinceMs: 5, isOwn: true, what: 'fail', why: '502' }
    expect(formatStoryLine(line)).toMatch(/\+5 ms {2}\* edge-1 +fail +502$/)
  })
})
