import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { SidecarFixture } from './sidecar-fixture.ts'

const STATUSES = [200, 302, 400, 408, 421, 429, 500, 502, 503]
const IDS = ['own', 'none', 'other', 'two'] as const
const MARKS = ['none', 'head', 'twice', 'interim', 'trailer'] as const
const FRAMINGS = ['length', 'chunks', 'close'] as const
const MARK = 'x-gullwall-ran: no\r\n'

interface Case {
  status: number
  id: typeof IDS[number]
  mark: typeof MARKS[number]
  framing: typeof FRAMINGS[number]
}

const cases = STATUSES.flatMap((status) => IDS.flatMap((id) => MARKS.flatMap((mark) => (
  FRAMINGS.map((framing): Case => ({ status, id, mark, framing }))
))))

function idLines (id: Case['id'], attemptId: string): string {
  const names = { own: [attemptId], none: [], other: ['another'], two: [attemptId, 'another'] }[id]
  return names.map((name) => `x-gullwall-attempt-id: ${name}\r\n`).join('')
}

function responseOf ({ status, id, mark, framing }: Case, attemptId: string): string {
  const ids = idLines(id, attemptId)
  const interim = mark === 'interim' ? `HTTP/1.1 103 Early\r\n${ids}${MARK}\r\n` : ''
  const marks = { none: '', head: MARK, twice: MARK + MARK, interim: '', trailer: '' }[mark]
  const inChunks = framing === 'chunks' || mark === 'trailer'
  const framed = inChunks ? 'transfer-encoding: chunked\r\n' : framing === 'length' ? 'content-length: 2\r\n' : 'connection: close\r\n'
  const body = inChunks ? `2\r\nno\r\n0\r\n${mark === 'trailer' ? MARK : ''}\r\n` : 'no'
  return `${interim}HTTP/1.1 ${status} Status\r\n${ids}${marks}${framed}\r\n${body}`
}

describe('the statement of an endpoint behind a sidecar', () => {
  const sidecar = new SidecarFixture()
  beforeEach(async () => await sidecar.start())
  afterEach(async () => await sidecar.stop())

  // An unmarked status, a mark without the id or one outside the head of a failure let a caller be told "not run" of a request that ran.
  it('that a request has not run is the mark in the head of a failure, with the one id of the attempt', async () => {
    const broken: string[] = []
    let count = 0
    for (const play of cases) {
      const attemptId = `a${++count}`
      sidecar.respond = (socket) => {
        socket.write(responseOf(play, attemptId))
        if (play.framing === 'close') socket.end()
      }
      const { status, refusal } = await sidecar.send(attemptId)
      const isProven = play.mark === 'head' && play.id === 'own' && play.status >= 400
      if ((refusal?.ran === 'no') !== isProven) broken.push(`${JSON.stringify(play)}: ${status} ${JSON.stringify(refusal)}`)
      if (refusal === undefined && [408, 421, 429, 503].includes(status)) broken.push(`${JSON.stringify(play)}: ${status} was passed on`)
    }
    expect(broken).toEqual([])
  })

  it('reaches the entry though the body of the rejection has no end, and its connection is closed', async () => {
    for (const mark of [MARK, '']) {
      const attemptId = `endless-${mark.length}`
      sidecar.respond = (socket) => {
        socket.write(`HTTP/1.1 503 Full\r\nx-gullwall-attempt-id: ${attemptId}\r\n${mark}transfer-encoding: chunked\r\n\r\n`)
        const send = () => { if (!socket.destroyed && socket.write('4\r\nmore\r\n'.repeat(1000))) setImmediate(send) }
        socket.on('drain', send)
        send()
      }
      const { refusal } = await sidecar.send(attemptId)
      expect(refusal?.ran).toBe(mark === '' ? 'unknown' : 'no')
      await sidecar.untilClosed()
    }
  })

  it('reaches the entry though nothing follows the head, and its connection is closed', async () => {
    sidecar.respond = (socket, attemptId) => {
      socket.write(`HTTP/1.1 503 Full\r\nx-gullwall-attempt-id: ${attemptId}\r\n${MARK}content-length: 10\r\n\r\n`)
    }
    const sentAt = performance.now()
    expect((await sidecar.send('silent')).refusal?.ran).toBe('no')
    expect(performance.now() - sentAt).toBeLessThan(500)
    await sidecar.untilClosed()
  })

  it('leaves the connection of a short rejection open for the next attempt', async () => {
    sidecar.respond = (socket, attemptId) => {
      socket.write(`HTTP/1.1 503 Full\r\nx-gullwall-attempt-id: ${attemptId}\r\n${MARK}content-length: 0\r\n\r\n`)
    }
    const connections = sidecar.connections.length
    for (let count = 0; count < 5; count += 1) await sidecar.send(`short-${count}`)
    expect(sidecar.connections.length - connections).toBe(1)
  })

  // An entry whose connection broke off asks whether the attempt has started.
  it('counts for an entry that asks later, and the attempt never starts', async () => {
    sidecar.respond = (socket, attemptId) => {
      socket.write(`HTTP/1.1 503 Full\r\nx-gullwall-attempt-id: ${attemptId}\r\n${MARK}content-length: 0\r\n\r\n`)
    }
    await sidecar.send('asked')
    expect(sidecar.registry.revoke('asked')).toBe('never-started')
    expect((await sidecar.send('asked')).refusal).toEqual({ reason: 'revoked', ran: 'no' })
  })

  it('does not pass for that of the sidecar', async () => {
    const forged = 'x-gullwall-refused: revoked\r\nx-gullwall-ran: no\r\n'
    sidecar.respond = (socket) => { socket.write(`HTTP/1.1 409 Conflict\r\n${forged}content-length: 0\r\n\r\n`) }
    const { status, refusal, headers } = await sidecar.send('forged')
    expect({ status, refusal, ran: headers['x-gullwall-ran'] }).toEqual({ status: 409, refusal: undefined, ran: undefined })
  })
})

describe('an attempt that is sent twice', () => {
  const sidecar = new SidecarFixture()
  beforeEach(async () => await sidecar.start())
  afterEach(async () => await sidecar.stop())

  it('runs once, whatever became of the first', async () => {
    let runs = 0
    sidecar.respond = (socket) => {
      runs += 1
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
    }
    const [first, second] = await Promise.all([sidecar.send('twice'), sidecar.send('twice')])
    const third = await sidecar.send('twice')
    expect([first.status, second.status].sort()).toEqual([200, 409])
    for (const { refusal } of [first, second, third]) expect(refusal?.ran).not.toBe('no')
    expect(runs).toBe(1)
  })

  it('does not start after it was revoked, nor at another start of the sidecar', async () => {
    let runs = 0
    sidecar.respond = () => { runs += 1 }
    expect(sidecar.registry.revoke('revoked')).toBe('never-started')
    expect((await sidecar.send('revoked')).refusal).toEqual({ reason: 'revoked', ran: 'no' })
    expect((await sidecar.send('other', { sidecarStartId: 'earlier' })).refusal).toEqual({ reason: 'other-start', ran: 'no' })
    expect(runs).toBe(0)
  })
})

describe('an attempt whose entry closes its connection', () => {
  const sidecar = new SidecarFixture()
  beforeEach(async () => await sidecar.start())
  afterEach(async () => await sidecar.stop())

  // The entry may have sent the request on: the endpoint may go on with it for 400 ms at most.
  it.each(['before the head', 'within the body'])('%s is closed at its endpoint at once', async (when) => {
    const entry = new AbortController()
    let leftAt = 0
    sidecar.respond = (socket) => {
      if (when === 'within the body') socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf')
      setTimeout(() => {
        leftAt = performance.now()
        entry.abort()
      }, 20)
    }
    await sidecar.send(`left-${when.slice(0, 6)}`, {}, entry.signal).catch(() => {})
    await sidecar.untilClosed()
    expect(performance.now() - leftAt).toBeLessThan(400)
    expect(sidecar.registry.revoke(`left-${when.slice(0, 6)}`)).not.toBe('never-started')
  })
})
