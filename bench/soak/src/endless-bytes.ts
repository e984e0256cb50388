/** Bytes without end, which an engine sends in the place of an answer or behind one until the gateway closes the connection. */
import { type Socket } from 'node:net'
import { type Flood, type Journal } from './journal.ts'
import { type Random } from './random.ts'

const PIECE_BYTES = 64 * 1024
const BYTES_PER_MS = 3000
const MAX_MS = 30_000
/** All engines together send on so many connections at once, so that this process keeps up with its other work. */
const MAX_AT_ONCE = 4
const SHARE = 0.2
const FILLER = Buffer.alloc(PIECE_BYTES, 'x')
const CHUNK = Buffer.concat([Buffer.from(`${PIECE_BYTES.toString(16)}\r\n`), FILLER, Buffer.from('\r\n')])
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n'
const ENDLESS_LENGTH = 'content-length: 1000000000000\r\n\r\n'

interface Shape {
  begin: (id: string) => string
  piece: Buffer
  /** Whether the bytes may be a proper answer that is just long. */
  mayBeAnswer?: boolean
  /** Whether the request is not run, as the head says. */
  isRejection?: boolean
}

const SHAPES = {
  'status line': { begin: () => 'HTTP/1.1 200 ', piece: FILLER },
  'head line': { begin: (id) => `${headOf('200 OK', id)}x-filler: `, piece: FILLER },
  'head lines': { begin: (id) => headOf('200 OK', id), piece: repeated('x-filler: 0123456789\r\n') },
  'interim heads': { begin: () => '', piece: repeated('HTTP/1.1 102 Processing\r\n\r\n') },
  chunks: { begin: (id) => `${headOf('200 OK', id)}${CHUNKED}`, piece: CHUNK, mayBeAnswer: true },
  'chunk extension': { begin: (id) => `${headOf('200 OK', id)}${CHUNKED}5;x=`, piece: FILLER },
  trailers: { begin: (id) => `${headOf('200 OK', id)}${CHUNKED}5\r\nhello\r\n0\r\nx-filler: `, piece: FILLER },
  'body without a length': { begin: (id) => `${headOf('200 OK', id)}connection: close\r\n\r\n`, piece: FILLER, mayBeAnswer: true },
  'body of a length': { begin: (id) => `${headOf('200 OK', id)}${ENDLESS_LENGTH}`, piece: FILLER, mayBeAnswer: true },
  event: { begin: (id) => `${headOf('200 OK', id)}content-type: text/event-stream\r\n${CHUNKED}6\r\ndata: \r\n`, piece: CHUNK },
  'body of a rejection': { begin: (id) => `${headOf('503 Busy', id)}x-gullwall-ran: no\r\n${ENDLESS_LENGTH}`, piece: FILLER, isRejection: true },
  'chunks of a rejection': { begin: (id) => `${headOf('503 Busy', id)}x-gullwall-ran: no\r\n${CHUNKED}`, piece: CHUNK, isRejection: true },
  'behind an answer': { begin: () => '', piece: FILLER },
  'idle connection': { begin: () => '', piece: FILLER }
} satisfies Record<string, Shape>

export type EndlessPlace = keyof typeof SHAPES

const PLACES = Object.keys(SHAPES) as EndlessPlace[]

/** Draws whether an engine sends bytes without end for a request, and where. */
export function drawPlace (random: Random, { floods }: Journal, isStream: boolean): EndlessPlace | undefined {
  if (floods.filter(({ endedAt }) => endedAt === undefined).length >= MAX_AT_ONCE || !random.chance(SHARE)) return undefined
  return random.pick(PLACES.filter((place) => isStream || place !== 'event'))
}

export function isRejection (place: EndlessPlace): boolean {
  const shape: Shape = SHAPES[place]
  return shape.isRejection === true
}

/** Whether the bytes come after a whole answer. */
export function isBehindAnswer (place: EndlessPlace): boolean {
  return place === 'behind an answer' || place === 'idle connection'
}

/** Sends until the connection is closed, in pieces that wait for the other end to take them. */
export function sendWithoutEnd (socket: Socket, journal: Journal, { place, ...whose }: Pick<Flood, 'id' | 'incarnation' | 'engine' | 'from'> & { place: EndlessPlace }): void {
  const shape: Shape = SHAPES[place]
  const flood: Flood = { ...whose, place, at: journal.now, mayBeAnswer: shape.mayBeAnswer === true }
  journal.floods.push(flood)
  const send = (): void => { if (socket.writableLength < PIECE_BYTES) socket.write(shape.piece) }
  const pace = setInterval(send, shape.piece.length / BYTES_PER_MS)
  const end = (): void => {
    flood.endedAt ??= journal.now
    clearInterval(pace)
    clearTimeout(last)
    socket.destroy()
  }
  const last = setTimeout(end, MAX_MS)
  for (const event of ['end', 'error', 'close']) socket.once(event, end)
  socket.write(shape.begin(whose.id))
  send()
}

function headOf (status: string, id: string): string {
  return `HTTP/1.1 ${status}\r\nx-gullwall-request-id: ${id}\r\n`
}

function repeated (text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(PIECE_BYTES / text.length)))
}
