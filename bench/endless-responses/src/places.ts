/** The places of a response in which an engine can write without end. */

export interface Place {
  name: string
  /** The prefix of the route of the requests. */
  path: '/order/' | '/scan/'
  /** What the engine writes first. */
  begin: (id: string) => string
  /** What it writes again and again behind that. */
  piece: string
  /** Time between the two, in ms. */
  restMs?: number
}

const FRAME_BYTES = 0x4000
/** Longer than it takes the response to reach the gateway, so that its connection is idle. */
const REST_MS = 50
const FRAME = `${FRAME_BYTES.toString(16)}\r\n${'x'.repeat(FRAME_BYTES)}\r\n`
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n'

export const PLACES: readonly Place[] = [
  { name: 'status-line', path: '/order/', begin: () => 'HTTP/1.1 200 ', piece: 'x' },
  { name: 'header-lines', path: '/order/', begin: (id) => headOf('200 OK', id), piece: 'x-more: 1\r\n' },
  { name: 'interim-heads', path: '/order/', begin: () => '', piece: 'HTTP/1.1 103 Early\r\n\r\n' },
  { name: 'chunk-extension', path: '/order/', begin: (id) => `${headOf('200 OK', id)}${CHUNKED}4;`, piece: 'x' },
  { name: 'trailers', path: '/order/', begin: (id) => `${headOf('200 OK', id)}${CHUNKED}0\r\n`, piece: 'x-more: 1\r\n' },
  { name: 'body', path: '/order/', begin: (id) => `${headOf('200 OK', id)}\r\n`, piece: 'x' },
  { name: 'body-in-chunks', path: '/order/', begin: (id) => `${headOf('200 OK', id)}${CHUNKED}`, piece: FRAME },
  { name: 'event', path: '/scan/', begin: (id) => `${headOf('200 OK', id)}${CHUNKED}`, piece: FRAME },
  { name: 'rejection', path: '/order/', begin: (id) => `${headOf('503 Busy', id)}x-gullwall-ran: no\r\n${CHUNKED}`, piece: FRAME },
  { name: 'behind-a-response', path: '/order/', begin: wholeResponse, piece: 'x' },
  { name: 'idle-connection', path: '/order/', begin: wholeResponse, piece: 'x', restMs: REST_MS }
]

/** A complete response to the request with this id. */
export function wholeResponse (id: string, body = 'done'): string {
  return `${headOf('200 OK', id)}content-length: ${body.length}\r\n\r\n${body}`
}

function headOf (status: string, id: string): string {
  return `HTTP/1.1 ${status}\r\nx-gullwall-request-id: ${id}\r\n`
}
