/** What a server does by itself about a connection with malformed or late bytes. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type Duplex } from 'node:stream'
import { abortResponse } from './abort-response.ts'

/** The requests of one connection. */
interface Exchanges {
  /** Responses that have not been sent to their end. */
  open: Set<ServerResponse>
  latest: IncomingMessage | undefined
}

const BAD_REQUEST = '400 Bad Request'
/** Status lines by the code of the error; other errors of the parser are malformed requests. */
const STATUS_LINES: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large'
}
/** Begins the codes of the errors that the parser reports. */
const PARSER_ERROR_PREFIX = 'HPE_'

/**
 * Replaces the responses that Node writes by itself. Those would go to a connection whose request is running, which its caller then takes
 * for refused: 408 promises that it has not run. Such a connection is closed without a byte. No response of this module is a promise.
 */
export function handleClientErrors (server: Server): void {
  const connections = new WeakMap<Duplex, Exchanges>()
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    const exchanges = connections.get(request.socket) ?? { open: new Set(), latest: undefined }
    connections.set(request.socket, exchanges)
    exchanges.latest = request
    exchanges.open.add(response)
    response.once('close', () => exchanges.open.delete(response))
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    const { open, latest } = connections.get(socket) ?? { open: new Set<ServerResponse>(), latest: undefined }
    const isBodyIncomplete = latest?.complete === false
    const code = error.code ?? ''
    if (open.size > 0) closeWithoutResponse(socket, open)
    else if (isBodyIncomplete || !code.startsWith(PARSER_ERROR_PREFIX) || !socket.writable) socket.destroy()
    else socket.end(`HTTP/1.1 ${STATUS_LINES[code] ?? BAD_REQUEST}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () => socket.destroy())
  })
}

/** Closes a connection so that no incomplete response looks complete; complete ones are still sent. */
function closeWithoutResponse (socket: Duplex, open: ReadonlySet<ServerResponse>): void {
  const incomplete = [...open].filter((response) => !response.writableEnded)
  if (incomplete.length === 0) {
    socket.end(() => socket.destroy())
    return
  }
  for (const response of incomplete) abortResponse(response)
  socket.destroy()
}
