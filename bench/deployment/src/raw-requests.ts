/** Requests on a raw socket, for stand-ins that write what no HTTP server would. */
import { type Socket } from 'node:net'

const HEAD_END = '\r\n\r\n'
const LENGTH = /content-length: (\d+)/i
const REQUEST_ID = /x-gullwall-request-id: (.*)/i

/** Calls back with the id of each request once its body is whole. A next request is expected only behind a response. */
export function readRequests (socket: Socket, onRequest: (id: string) => void): void {
  let received = ''
  socket.on('data', (chunk) => {
    received += chunk.toString('latin1')
    const end = received.indexOf(HEAD_END)
    if (end < 0) return
    const head = received.slice(0, end)
    const length = Number(LENGTH.exec(head)?.[1] ?? 0)
    if (received.length < end + HEAD_END.length + length) return
    received = ''
    onRequest(REQUEST_ID.exec(head)?.[1] ?? '')
  })
}
