// Guards against a response that is resumed while the bytes of another one are parsed, which breaks both.
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { Connections } from '../src/connections.ts'
import { EventSplitter } from '../src/event-splitter.ts'
import { Exchange, type ExchangeOutcome } from '../src/exchange.ts'
import { ResponseMemory, type KeptBytes } from '../src/response-memory.ts'

const MAX_BYTES = 300_000
const FIRST_BYTES = 200_000
const SECOND_BYTES = 150_000
const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n'

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`
const server: Server = createServer((socket) => {
  socket.on('error', () => {})
  socket.once('data', (bytes) => { void (String(bytes).includes('/first') ? writeFirst(socket) : writeSecond(socket)) })
})
let address = ''

/** Writes an event that is complete while the other response is paused. */
async function writeFirst (socket: Socket): Promise<void> {
  socket.write(`${HEAD}${chunk(`data: ${'a'.repeat(FIRST_BYTES)}`)}`)
  await sleep(400)
  socket.write(chunk('\n\n'))
  await sleep(200)
  socket.end('0\r\n\r\n')
}

async function writeSecond (socket: Socket): Promise<void> {
  socket.write(HEAD)
  await sleep(100)
  socket.write(chunk(`data: ${'b'.repeat(SECOND_BYTES)}`))
  await sleep(400)
  socket.end(`${chunk('\n\n')}0\r\n\r\n`)
}

beforeAll(async () => {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`
})
afterAll(() => server.close())

it('a response that waited for the memory of another goes on when the other has an event, and both are complete', async () => {
  const memory = new ResponseMemory(MAX_BYTES)
  const connections = new Connections()
  let pauses = 0
  const receive = async (name: string): Promise<{ outcome: ExchangeOutcome, eventBytes: number }> => {
    const splitter = new EventSplitter()
    let eventBytes = 0
    const description = { incarnation: name, service: 'app', address, dataCentre: 'dc1', slots: 1 }
    const exchange = new Exchange(connections.dispatcherFor(description, 10, 1), `http://${address}`, {
      method: 'GET',
      path: `/${name}`,
      headers: [],
      body: undefined,
      connectMs: 2000,
      findRefusalReason: () => undefined,
      onSending: () => {},
      wasClosedCleanly: async () => true
    }, {
      onInterim: () => {},
      onHead: () => 'read',
      onEndless: () => {},
      onData: (bytes) => {
        const event = splitter.push(bytes)
        kept.update(splitter.incompleteBytes)
        if (event !== undefined) eventBytes += event.bytes.length
      }
    })
    const kept: KeptBytes = memory.open({
      isPaused: () => exchange.isPausedFor('memory'),
      pause: () => {
        pauses += 1
        exchange.pause('memory')
      },
      resume: () => exchange.resume('memory'),
      breakOff: (reason) => exchange.abandon(reason, 'event')
    })
    const outcome = await exchange.outcome
    kept.release()
    return { outcome, eventBytes }
  }
  const [first, second] = await Promise.all([receive('first'), receive('second')])
  expect(pauses).toBeGreaterThan(0)
  expect(first).toEqual({ outcome: { type: 'complete' }, eventBytes: FIRST_BYTES + 'data: \n\n'.length })
  expect(second).toEqual({ outcome: { type: 'complete' }, eventBytes: SECOND_BYTES + 'data: \n\n'.length })
}, 10_000)
