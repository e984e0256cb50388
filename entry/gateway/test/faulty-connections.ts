/** An endpoint on raw sockets whose connections end, are reset and bring unsolicited bytes at random moments. It counts the arrivals. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { StubEndpoint } from './gateway-deployment.ts'

const STEP = 0x6d2b79f5
const RANGE = 2 ** 32
const ID_HEADER = 'x-gullwall-request-id'
const END_OF_HEAD = '\r\n\r\n'
/** Delays in ms of what happens to a connection: many fall into the moment at which the next request is written. */
const DELAYS_MS = [0, 0, 0, 1, 1, 2, 3, 6]

/** Choices from a seed. */
export class Choices {
  constructor (private state: number) {}

  next (): number {
    this.state = (this.state + STEP) | 0
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE
  }

  chance (share: number): boolean {
    return this.next() < share
  }

  pick<T> (list: readonly T[]): T {
    return list[Math.floor(this.next() * list.length)] as T
  }
}

type Step = (endpoint: FaultyEndpoint, socket: Socket, id: string) => void

const ended: Step = (_endpoint, socket) => { socket.end() }
const reset: Step = (_endpoint, socket) => { socket.resetAndDestroy() }
const destroyed: Step = (_endpoint, socket) => { socket.destroy() }

/** A response that answers no request, without an id, with an unknown one, or with that of an earlier request; most say "not run". */
const unsolicited: Step = ({ choices }, socket, id) => {
  const status = choices.pick([200, 408, 421, 429, 503])
  const named = choices.pick(['', `${ID_HEADER}: ${id}\r\n`, `${ID_HEADER}: another\r\n`])
  const more = choices.pick(['', 'x-gullwall-ran: no\r\n', 'connection: close\r\n', 'x-gullwall-ran: no\r\nconnection: close\r\n'])
  socket.write(`HTTP/1.1 ${status} Status\r\n${named}${more}content-length: 0${END_OF_HEAD}`)
}

const expired: Step = (_endpoint, socket) => {
  socket.end(`HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0${END_OF_HEAD}`)
}

/** What happens to a connection at rest, as it is opened or after a response. */
const AT_REST: readonly Step[] = [ended, reset, destroyed, unsolicited, expired]

const answered = (more: string, behind = ''): Step => (_endpoint, socket, id) => {
  const body = `id: 1\ndata: ${id}\n\n`
  socket.write(`HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\ncontent-type: text/event-stream\r\n${more}content-length: ${body.length}${END_OF_HEAD}${body}${behind}`)
}

const truncated = (finish: Step): Step => (endpoint, socket, id) => {
  const whole = `HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\ncontent-length: 40${END_OF_HEAD}${'x'.repeat(40)}`
  socket.write(whole.slice(0, Math.floor(endpoint.choices.next() * whole.length)))
  finish(endpoint, socket, id)
}

const ANSWERS: readonly Step[] = [
  answered(''), answered(''), answered(''),
  answered('keep-alive: timeout=0\r\n'), answered('keep-alive: timeout=1\r\n'), answered('keep-alive: timeout=2\r\n'),
  answered('connection: close\r\n', `HTTP/1.1 503 Status\r\nx-gullwall-ran: no\r\ncontent-length: 0${END_OF_HEAD}`),
  answered('', `HTTP/1.1 421 Status\r\ncontent-length: 0${END_OF_HEAD}`)
]
const FAILURES: readonly Step[] = [ended, reset, destroyed, expired, truncated(ended), truncated(reset), (endpoint, socket) => unsolicited(endpoint, socket, 'another')]

export class FaultyEndpoint extends StubEndpoint {
  /** Number of arrivals of each request. */
  readonly arrivals = new Map<string, number>()
  private readonly sockets = new Set<Socket>()
  private readonly raw: Server
  faultyShare = 0.3

  constructor (incarnation: string, readonly choices: Choices) {
    super(incarnation, 'app')
    // A connection of which this side has been closed still receives requests.
    this.raw = createServer({ allowHalfOpen: true }, (socket) => this.accept(socket))
  }

  override async start (): Promise<void> {
    await new Promise<void>((resolve) => this.raw.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.raw.address() as AddressInfo).port}`
  }

  override stop (): void {
    this.raw.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    let text = ''
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('end', () => socket.end())
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1')
      for (let rest = this.readRequest(socket, text); rest !== undefined; rest = this.readRequest(socket, text)) text = rest
    })
    if (this.choices.chance(this.faultyShare / 4)) this.later(this.choices.pick(AT_REST), socket, '')
  }

  /** Reads one request and answers it. Returns the text behind it, or undefined if the request is incomplete. */
  private readRequest (socket: Socket, text: string): string | undefined {
    const end = text.indexOf(END_OF_HEAD)
    if (end < 0) return undefined
    const head = text.slice(0, end + 2).toLowerCase()
    const length = Number(/\r\ncontent-length: (\d+)\r\n/.exec(head)?.[1] ?? 0)
    const bodyAt = end + END_OF_HEAD.length
    if (text.length < bodyAt + length) return undefined
    const id = /\r\nx-gullwall-request-id: (\S+)\r\n/.exec(head)?.[1] ?? ''
    this.arrivals.set(id, (this.arrivals.get(id) ?? 0) + 1)
    this.answer(socket, id)
    return text.slice(bodyAt + length)
  }

  private answer (socket: Socket, id: string): void {
    const { choices } = this
    if (choices.chance(this.faultyShare / 2)) {
      this.later(choices.pick(FAILURES), socket, id)
      return
    }
    const answer = choices.pick(ANSWERS)
    const next = choices.chance(this.faultyShare) ? choices.pick(AT_REST) : undefined
    this.later((endpoint, connection) => {
      answer(endpoint, connection, id)
      if (next !== undefined) this.later(next, connection, id)
    }, socket, id)
  }

  private later (step: Step, socket: Socket, id: string): void {
    const act = () => { if (socket.writable) step(this, socket, id) }
    if (this.choices.chance(0.3)) act()
    else setTimeout(act, this.choices.pick(DELAYS_MS))
  }
}
