import { connect } from 'node:net'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { writeRefusal } from '@gullwall/transport.attempt'
import { breakOff, EntryFixture, refuseWith, respondWith, streamOf, type Attempt } from './entry-fixture.ts'

const ONCE = { 'gullwall-repeatable': 'false' }
const AGAIN = { 'gullwall-repeatable': 'true' }
/** For so long an endpoint may go on with a request that was sent on to another one. */
const STILL_WORKING_MS = 400
const PROMISES = [408, 421, 429, 503]
const turnedAway = refuseWith('turned-away', 'no')

describe('a request behind a sidecar', () => {
  let entry: EntryFixture
  beforeEach(async () => {
    entry = new EntryFixture()
    await entry.start()
  })
  afterEach(async () => await entry.stop())

  // The dispatcher's refusal was passed on as 503, though an attempt before it had run.
  it('that ran in part and then finds no endpoint is not refused', async () => {
    entry.attempts = [refuseWith('endpoint-failed', 'partly')]
    const { status, error, headers } = await entry.ask({}, AGAIN)
    expect({ status, error }).toMatchObject({ status: 502, error: { code: 'wait_passed', ran: 'partly' } })
    expect(headers['gullwall-ran']).toBe('partly')
    expect(headers['retry-after']).toBeUndefined()
  })

  it('that ran in part and is then turned away everywhere is not refused', async () => {
    entry.attempts = [refuseWith('endpoint-failed', 'unknown'), ...Array.from({ length: 5 }, () => turnedAway), respondWith(200)]
    expect(await entry.ask({}, AGAIN)).toMatchObject({ status: 502, error: { code: 'endpoints_unavailable', ran: 'unknown' } })
  })

  it('that ran in part and is then turned away without a retry left is not refused', async () => {
    entry.attempts = [refuseWith('preempted', 'partly'), turnedAway, respondWith(200)]
    entry.hasRetries = false
    expect(await entry.ask({}, AGAIN)).toMatchObject({ status: 502, error: { code: 'retry_budget_spent', ran: 'partly' } })
  })

  it('that was turned away by each endpoint is refused, and may be sent again', async () => {
    for (const headers of [ONCE, AGAIN]) {
      entry.attempts = [turnedAway, refuseWith('endpoint-down', 'no'), refuseWith('other-start', 'no')]
      const answer = await entry.ask({}, headers)
      expect(answer).toMatchObject({ status: 503, error: { code: 'wait_passed', ran: 'no' } })
      expect(answer.headers).toMatchObject({ 'gullwall-ran': 'no', 'retry-after': '1' })
      entry.attempts = Array.from({ length: 6 }, () => turnedAway)
      const spent = await entry.ask({}, headers)
      expect(spent).toMatchObject({ status: 503, error: { code: 'endpoints_unavailable', ran: 'no' } })
      expect(spent.headers['retry-after']).toBe('1')
    }
  })

  // Sidecars of earlier builds took any marked response of an endpoint for the proof.
  it('that an earlier build of a sidecar reports as turned away may have run', async () => {
    entry.isOldSidecar = true
    entry.attempts = [turnedAway, respondWith(200)]
    expect(await entry.ask({}, ONCE)).toMatchObject({ status: 502, error: { code: 'may_have_run', ran: 'unknown' } })
    expect(entry.sentCount).toBe(1)
  })

  it('that was turned away is sent on although the rest of the refusal is cut off', async () => {
    const cutOff: Attempt = (response) => {
      response.writeHead(409, { ...writeRefusal({ reason: 'turned-away', ran: 'no' }), 'content-length': '100' })
      response.write('a part', () => response.destroy())
    }
    entry.attempts = [cutOff, respondWith(200)]
    expect(await entry.ask({}, ONCE)).toMatchObject({ status: 200, text: 'body' })
  })

  // A key that is given free while its request runs would let it run again.
  it('keeps its idempotency key if its caller leaves while it runs', async () => {
    Object.assign(entry.control, { claim: async () => ({ granted: true }) })
    const begun = new Promise<void>((resolve) => { entry.attempts = [() => resolve()] })
    const [host = '', port] = entry.address.split(':')
    const socket = connect(Number(port), host)
    const body = JSON.stringify({ model: 'parts', messages: [{ role: 'user', content: 'hello' }] })
    const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: ${entry.authorization}\r\nidempotency-key: k\r\ngullwall-repeatable: false\r\n`
    socket.write(`${head}content-length: ${body.length}\r\n\r\n${body}`)
    await begun
    socket.destroy()
    await vi.waitFor(() => expect(entry.control.settled).toHaveLength(1))
    expect(entry.control.settled[0]).not.toMatch(/: no$/)
  })

  it('that was turned away is served by the next endpoint', async () => {
    entry.attempts = [turnedAway, refuseWith('busy', 'no'), respondWith(200)]
    expect(await entry.ask({}, ONCE)).toMatchObject({ status: 200, text: 'body' })
  })

  // The status of an endpoint was passed on, and read as the promise of the entry.
  it.each(PROMISES)('is not refused since an endpoint responded %i', async (status) => {
    entry.attempts = [respondWith(status, { 'gullwall-ran': 'no' }), respondWith(200)]
    expect(await entry.ask({}, ONCE)).toMatchObject({ status: 502, error: { code: 'may_have_run', ran: 'unknown' } })
    expect(entry.sentCount).toBe(1)
    entry.attempts = [respondWith(status), respondWith(200)]
    expect(await entry.ask({}, AGAIN)).toMatchObject({ status: 200 })
  })

  it('does not count as not run by the headers of its endpoint', async () => {
    entry.attempts = [respondWith(500, { 'gullwall-ran': 'no' })]
    const { status, headers } = await entry.ask({}, ONCE)
    expect({ status, ran: headers['gullwall-ran'] }).toEqual({ status: 500, ran: undefined })
  })

  // A preemption is an order of a sidecar, but an endpoint can write the comment that reports it.
  it('that may run once is not sent again, and no other one without end, since its endpoint reports a preemption', async () => {
    const preempted = streamOf(': gullwall-end preempted\n\n')
    entry.attempts = [preempted, respondWith(200)]
    expect(await entry.ask({ stream: true }, ONCE)).toMatchObject({ status: 502, error: { code: 'may_have_run' } })
    expect(entry.sentCount).toBe(1)
    entry.attempts = Array.from({ length: 30 }, () => preempted)
    expect((await entry.ask({ stream: true }, AGAIN)).status).toBe(502)
    expect(entry.sentCount - 1).toBeLessThanOrEqual(8)
  })

  it('is sent again after a broken connection only if the sidecar states that it never starts', async () => {
    entry.attempts = [breakOff, respondWith(200)]
    expect(await entry.ask({}, ONCE)).toMatchObject({ status: 502, error: { code: 'may_have_run', ran: 'unknown' } })
    entry.attempts = [breakOff, respondWith(200)]
    entry.revoked = 'no'
    expect(await entry.ask({}, ONCE)).toMatchObject({ status: 200 })
  })

  it('whose endpoint sends an event without end is sent to another one, and the connection is closed', async () => {
    let closed: Promise<unknown> | undefined
    entry.attempts = [(response) => {
      closed = new Promise((resolve) => response.once('close', resolve))
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      const send = () => { if (!response.destroyed && response.write('data: '.repeat(10_000))) setImmediate(send) }
      response.on('drain', send)
      send()
    }, streamOf('data: [DONE]\n\n')]
    expect(await entry.ask({ stream: true })).toMatchObject({ status: 200, text: 'data: [DONE]\n\n' })
    await closed
  })

  it('that moves away from a sick endpoint is closed there at once, before it is sent on', async () => {
    const order: string[] = []
    entry.attempts = [(response) => {
      response.once('close', () => order.push('closed'))
      response.writeHead(200, { 'content-type': 'text/event-stream' }).write('data: {"choices":[{"delta":{"content":"a"}}]}\n\n')
      setImmediate(() => entry.ejections.emit('e'))
    }, (response) => {
      // The end of a connection and the next request come on two connections, in any order within a turn or two.
      setTimeout(() => {
        order.push('second run goes on')
        streamOf('data: [DONE]\n\n')(response)
      }, STILL_WORKING_MS)
    }]
    expect((await entry.ask({ stream: true })).status).toBe(200)
    expect(order).toEqual(['closed', 'second run goes on'])
  })

  it('that may run once is not moved away from a sick endpoint', async () => {
    entry.attempts = [(response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream' }).write('data: {}\n\n')
      entry.ejections.emit('e')
      setImmediate(() => response.end('data: [DONE]\n\n'))
    }, respondWith(200)]
    expect(await entry.ask({ stream: true }, ONCE)).toMatchObject({ status: 200, text: 'data: {}\n\ndata: [DONE]\n\n' })
    expect(entry.sentCount).toBe(1)
  })

  // It can't go on at another endpoint, so that a second run of it would be one from its beginning.
  it('with a stream that can not be resumed may run once, unless its caller has said that it may be repeated', async () => {
    const stream = { stream: true, tools: [] }
    const done = streamOf('data: [DONE]\n\n')
    entry.attempts = [refuseWith('endpoint-failed', 'partly'), done]
    expect(await entry.ask(stream)).toMatchObject({ status: 502, error: { code: 'may_have_run', ran: 'partly' } })
    entry.attempts = [refuseWith('endpoint-failed', 'partly'), done]
    expect(await entry.ask(stream, AGAIN)).toMatchObject({ status: 200 })
    entry.attempts = [refuseWith('endpoint-failed', 'partly'), done]
    expect(await entry.ask({ stream: true })).toMatchObject({ status: 200 })
  })
})

describe('a request of which nothing was sent', () => {
  let entry: EntryFixture
  beforeEach(async () => {
    entry = new EntryFixture()
    await entry.start()
  })
  afterEach(async () => await entry.stop())

  it('is refused, and nothing of it is sent', async () => {
    entry.attempts = [respondWith(200)]
    entry.notReady = 'not yet'
    const answer = await entry.ask()
    expect(answer).toMatchObject({ status: 503, error: { code: 'not_ready', ran: 'no' } })
    expect(answer.headers).toMatchObject({ 'gullwall-ran': 'no', 'retry-after': '1' })
    entry.notReady = undefined
    expect(await entry.ask({}, { authorization: 'Bearer none' })).toMatchObject({ status: 401, headers: { 'www-authenticate': 'Bearer' } })
    expect(await entry.ask({ model: 'none' })).toMatchObject({ status: 404, error: { code: 'model_not_found', ran: 'no' } })
    expect(entry.sentCount).toBe(0)
  })

  it('since its body comes too late is refused, and nothing of it is sent', async () => {
    entry.attempts = [respondWith(200)]
    const [host, port] = entry.address.split(':')
    const socket = connect(Number(port), host)
    socket.write(`POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: ${entry.authorization}\r\nContent-Length: 100\r\n\r\n{`)
    const head = await new Promise<string>((resolve) => socket.once('data', (chunk) => resolve(chunk.toString())))
    expect(head).toMatch(/^HTTP\/1\.1 408 [^]*gullwall-ran: no/)
    // The rest of the body does not make it run.
    await new Promise((resolve) => socket.end('}'.repeat(99), () => resolve(undefined)))
    await new Promise((resolve) => socket.once('close', resolve).resume())
    expect(entry.sentCount).toBe(0)
  })

  // The claim may have been accepted, and kept the key from the caller's next request for an hour.
  it('since no quorum answered its claim is refused, and gives its key free', async () => {
    entry.attempts = [respondWith(200)]
    expect(await entry.ask({}, { ...ONCE, 'idempotency-key': 'k' })).toMatchObject({ status: 503, error: { code: 'no_quorum', ran: 'no' } })
    expect(entry.sentCount).toBe(0)
    expect(entry.control.settled).toEqual(['counter/k: no'])
  })
})
