/** A stub endpoint on a raw socket, which can write what no HTTP server would. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { readRequests } from '@gullwall/bench.deployment'
import { StubEndpoint } from './gateway-deployment.ts'

/** One request as it arrived. */
export interface RawRequest {
  id: string
  /** Number of times that a request with this id has arrived, this one included. */
  attempt: number
}

/** Writes what the endpoint answers. */
export type RawAnswer = (socket: Socket, request: RawRequest) => void

const FLOOD_INTERVAL_MS = 5

export class RawEndpoint extends StubEndpoint {
  private readonly rawServer: Server
  readonly sockets = new Set<Socket>()

  /** @param attempts number of attempts by request id, which several endpoints can share */
  constructor (incarnation: string, public answer: RawAnswer, private readonly attempts = new Map<string, number>(), service = 'app') {
    super(incarnation, service)
    this.rawServer = createServer((socket) => this.accept(socket))
  }

  override async start (): Promise<void> {
    await new Promise<void>((resolve) => this.rawServer.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.rawServer.address() as AddressInfo).port}`
  }

  override stop (): void {
    this.rawServer.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {}).on('close', () => this.sockets.delete(socket))
    readRequests(socket, (id) => {
      const attempt = (this.attempts.get(id) ?? 0) + 1
      this.attempts.set(id, attempt)
      this.requestIds.push(id)
      this.answer(socket, { id, attempt })
    })
  }
}

/** The sockets that are written to without end. */
export const floodedSockets = new Set<Socket>()

/** Writes the same bytes again and again until the socket closes, no faster than it takes them. */
export function flood (socket: Socket, piece: string, bytesPerSecond = 3_000_000): void {
  const batchBytes = bytesPerSecond * FLOOD_INTERVAL_MS / 1000
  const batch = piece.repeat(Math.max(1, Math.round(batchBytes / piece.length)))
  const timer = setInterval(() => {
    if (socket.writableLength === 0) socket.write(batch)
  }, FLOOD_INTERVAL_MS)
  floodedSockets.add(socket)
  socket.on('close', () => {
    clearInterval(timer)
    floodedSockets.delete(socket)
  })
}

/** A whole response that belongs to a request. */
export function wholeResponse (id: string, body = 'done'): string {
  return `HTTP/1.1 200 OK\r\nx-gullwall-request-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}
