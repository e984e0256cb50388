/** Engines on raw sockets, which can write what no HTTP server would. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { readRequests } from '@gullwall/bench.deployment'
import { type Place, wholeResponse } from './places.ts'

const BYTES_PER_SECOND = 3_000_000
const WRITE_INTERVAL_MS = 5
const MS_PER_SECOND = 1000
const BATCH_BYTES = BYTES_PER_SECOND * WRITE_INTERVAL_MS / MS_PER_SECOND

/** Writes without end on all connections that it is given, on each at 3 MB/s at most, and no faster than it takes the bytes. */
export class Flood {
  private readonly sockets = new Set<Socket>()
  private readonly batch: Buffer
  private timer: NodeJS.Timeout | undefined
  /** Number of bytes written, without those that a response begins with. */
  writtenBytes = 0

  constructor (private readonly place: Place) {
    this.batch = Buffer.from(place.piece.repeat(Math.max(1, Math.round(BATCH_BYTES / place.piece.length))))
  }

  /** Number of connections that are still open. */
  get openCount (): number {
    return this.sockets.size
  }

  begin (socket: Socket, id: string): void {
    const { place } = this
    socket.write(place.begin(id))
    if (place.restMs === undefined) this.add(socket)
    else setTimeout(() => this.add(socket), place.restMs)
  }

  stop (): void {
    clearInterval(this.timer)
    for (const socket of this.sockets) socket.destroy()
  }

  private add (socket: Socket): void {
    if (socket.destroyed || this.sockets.has(socket)) return
    this.sockets.add(socket)
    socket.on('close', () => this.sockets.delete(socket))
    this.timer ??= setInterval(() => this.writeAll(), WRITE_INTERVAL_MS * this.batch.length / BATCH_BYTES)
  }

  private writeAll (): void {
    for (const socket of this.sockets) {
      if (socket.writableLength > 0) continue
      socket.write(this.batch)
      this.writtenBytes += this.batch.length
    }
  }
}

export class RawEngine {
  address = ''
  private readonly server: Server
  private readonly sockets = new Set<Socket>()

  /** @param flood what the engine writes for each request; a sound engine has none */
  constructor (readonly incarnation: string, readonly service: string, private readonly flood?: Flood) {
    this.server = createServer((socket) => this.accept(socket))
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  stop (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {}).on('close', () => this.sockets.delete(socket))
    readRequests(socket, (id) => {
      if (this.flood === undefined) socket.write(wholeResponse(id))
      else this.flood.begin(socket, id)
    })
  }
}
