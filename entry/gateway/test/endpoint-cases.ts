/**
 * How an endpoint on a raw socket treats one request: what its response states, whether and when the request runs, and what else
 * comes on the connection.
 */
import { type RawConnection } from './raw-endpoint.ts'

export const STATUSES = [200, 204, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504] as const
/** Whose id the final head has; `two`: that of the request and another one. */
export const IDS = ['own', 'other', 'none', 'two'] as const
/** Where the response says that the request was not run; `conflicting`: the final head says both. */
export const MARKS = ['none', 'head', 'interim', 'trailer', 'conflicting'] as const
/** When the request runs, seen from the response. */
export const RUNS = ['before', 'after', 'never'] as const
/** How the end of the response is marked; `cut`, `cut chunks`: it has no end; `endless`: nothing marks its end; `none`: no response. */
export const FRAMINGS = ['length', 'chunks', 'connection', 'cut', 'cut chunks', 'endless', 'none'] as const
/** What comes behind the response. */
export const EXTRAS = ['nothing', 'second own', 'second other', 'second not run', 'garbage', 'close', 'reset'] as const
/** When that comes; `next request`: before the response to the next request on the connection. */
export const EXTRA_TIMES = ['at once', 'at rest', 'next request'] as const

export interface EndpointCase {
  status: typeof STATUSES[number]
  ids: typeof IDS[number]
  mark: typeof MARKS[number]
  run: typeof RUNS[number]
  framing: typeof FRAMINGS[number]
  extra: typeof EXTRAS[number]
  extraAt: typeof EXTRA_TIMES[number]
}

export const SERVE: EndpointCase = {
  status: 200, ids: 'own', mark: 'none', run: 'before', framing: 'length', extra: 'nothing', extraAt: 'at once'
}
export const REJECT: EndpointCase = { ...SERVE, status: 503, mark: 'head', run: 'never' }

const MIN_FAILURE_STATUS = 400
const NO_CONTENT_STATUS = 204
const EVENTS = 3
/** The delay of what comes while the connection is at rest, and of a run behind the response, in ms. */
export const LATE_MS = 15
export const OTHER_ID = 'request-of-another-caller'
const MARK = 'x-gullwall-ran: no\r\n'
const GARBAGE = 'no response\u0001 at all\r\n\r\n'

/** Whether the endpoint tells that it does not run the request: a failure with the mark and exactly the id of the request. */
export function provesNotRun ({ status, ids, mark, framing }: EndpointCase): boolean {
  return status >= MIN_FAILURE_STATUS && ids === 'own' && mark === 'head' && framing !== 'none'
}

/** Whether the response never ends, so that the caller waits until its deadline. */
export function isEndless ({ framing, extra }: EndpointCase): boolean {
  return (framing === 'endless' || framing === 'none') && extra !== 'close' && extra !== 'reset'
}

/** Returns the nearest case that an endpoint can play. */
export function toPlayable (given: EndpointCase): EndpointCase {
  const playable = { ...given }
  const ends = given.extra === 'reset' ? 'reset' : 'close'
  if (given.mark === 'trailer' && given.framing !== 'none') playable.framing = 'chunks'
  if (given.status === NO_CONTENT_STATUS && playable.framing !== 'none') playable.framing = 'length'
  // A response with the own id is the response of the request if none came before it.
  if (playable.framing === 'none' && (given.extra === 'second own' || given.extra === 'second not run')) playable.extra = 'nothing'
  // Without a length, whatever comes behind the body belongs to it.
  if (playable.framing === 'endless' && given.extra !== 'close' && given.extra !== 'reset') playable.extra = 'nothing'
  if (['connection', 'cut', 'cut chunks'].includes(playable.framing)) Object.assign(playable, { extra: ends, extraAt: 'at once' })
  if (provesNotRun(playable)) playable.run = 'never'
  // A response that is a success comes from a run.
  else if (given.status < MIN_FAILURE_STATUS && playable.run === 'never') playable.run = 'before'
  return playable
}

/** What the bodies of a response name. */
export interface ResponseSubject {
  id: string
  endpoint: string
  isStream: boolean
  /** The id of the event after which a stream goes on. */
  after: number
}

export function eventsFrom (after: number, id: string): string {
  return Array.from({ length: Math.max(0, EVENTS - after) }, (_, index) => `id: ${after + index + 1}\ndata: ${id}\n\n`).join('')
}

/** The whole body of a response. */
export function bodyOf (status: number, { id, endpoint, isStream, after }: ResponseSubject): string {
  if (status === NO_CONTENT_STATUS) return ''
  return isStream && status === 200 ? eventsFrom(after, id) : `${status} to ${id} by ${endpoint}`
}

/** The bytes of a response. */
export function responseOf (endpointCase: EndpointCase, subject: ResponseSubject): string {
  const { status, mark, framing } = endpointCase
  if (framing === 'none') return ''
  const { id } = subject
  const body = bodyOf(status, subject)
  const interim = mark === 'interim' ? `HTTP/1.1 103 Early\r\nx-gullwall-request-id: ${id}\r\n${MARK}\r\n` : ''
  const marks = { none: '', interim: '', trailer: '', head: MARK, conflicting: `${MARK}x-gullwall-ran: yes\r\n` }
  const head = `HTTP/1.1 ${status} Status\r\n${idLines(endpointCase, id)}${marks[mark]}x-endpoint: ${subject.endpoint}\r\n`
  if (status === NO_CONTENT_STATUS) return `${interim}${head}\r\n`
  const chunk = body === '' ? '' : `${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n`
  const framed: Record<Exclude<EndpointCase['framing'], 'none'>, string> = {
    length: `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    chunks: `transfer-encoding: chunked\r\n\r\n${chunk}0\r\n${mark === 'trailer' ? MARK : ''}\r\n`,
    connection: `\r\n${body}`,
    cut: `content-length: ${Buffer.byteLength(body) + 9}\r\n\r\n${body}`,
    'cut chunks': `transfer-encoding: chunked\r\n\r\n${chunk}`,
    endless: `\r\n${body}`
  }
  return interim + head + framed[framing]
}

function idLines ({ ids }: EndpointCase, id: string): string {
  const values = { own: [id], other: [OTHER_ID], none: [], two: [id, OTHER_ID] }[ids]
  return values.map((value) => `x-gullwall-request-id: ${value}\r\n`).join('')
}

/** Plays what comes on a connection behind a response. */
export function playExtra (extra: EndpointCase['extra'], id: string, connection: RawConnection): void {
  connection.isSpoiled = true
  if (extra === 'close') connection.close()
  else if (extra === 'reset') connection.reset()
  else connection.write(extraBytes(extra, id))
}

function extraBytes (extra: EndpointCase['extra'], id: string): string {
  const head = (status: number, named: string, more = '') => (
    `HTTP/1.1 ${status} Status\r\nx-gullwall-request-id: ${named}\r\n${more}x-endpoint: extra\r\ncontent-length: 0\r\n\r\n`
  )
  switch (extra) {
    case 'second own': return head(200, id)
    case 'second other': return head(200, OTHER_ID)
    case 'second not run': return head(503, id, MARK)
    case 'garbage': return GARBAGE
    default: return ''
  }
}
