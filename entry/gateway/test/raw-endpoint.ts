/** An endpoint on a raw socket: it parses requests itself, and writes whatever bytes a test tells it to. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** A request that an endpoint has read in full. */
export interface RawRequest {
  method: string
  path: string
  /** Names in lower case. */
  headers: Readonly<Record<string, string>>
  body: string
  connection: RawConnection
}

export type RawRequestHandler = (request: RawRequest) => void

const HEAD_END = '\r\n\r\n'
const LINE_END = '\r\n'

interface ParsedBody {
  body: Buffer
  /** Number of bytes that the body takes on the connection. */
  length: number
}

/** One connection of a caller, with what a test keeps about it. */
export class RawConnection {
  /** Number of requests that have been read from it. */
  requestCount = 0
  /** Called once, before the next request on the connection is handled. Returns false if the request gets no response. */
  beforeNextRequest: (() => boolean) | undefined
  /** Whether bytes were written that belong to no request, or the connection was closed. */
  isSpoiled = false
  private received: Buffer = Buffer.alloc(0)

  constructor (readonly socket: Socket, handle: RawRequestHandler) {
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      this.received = Buffer.concat([this.received, chunk])
      for (let request = this.take(); request !== undefined; request = this.take()) {
        this.requestCount += 1
        handle(request)
      }
    })
  }

  write (bytes: string): void {
    if (this.socket.writable) this.socket.write(bytes)
  }

  /** Closes the connection in order, behind everything that was written. */
  close (): void {
    this.isSpoiled = true
    this.socket.end()
  }

  /** Resets the connection once everything that was written has been handed to the kernel. */
  reset (): void {
    this.isSpoiled = true
    this.socket.write('', () => this.socket.resetAndDestroy())
  }

  /** Takes a complete request from the bytes that have arrived; undefined if it is not there yet. */
  private take (): RawRequest | undefined {
    const headEnd = this.received.indexOf(HEAD_END)
    if (headEnd < 0) return undefined
    const [requestLine = '', ...lines] = this.received.subarray(0, headEnd).toString('latin1').split(LINE_END)
    const [method = '', path = ''] = requestLine.split(' ')
    const headers = Object.fromEntries(lines.map((line) => {
      const colon = line.indexOf(':')
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
    }))
    const rest = this.received.subarray(headEnd + HEAD_END.length)
    const parsed = headers['transfer-encoding'] === 'chunked' ? parseChunks(rest) : parseLength(rest, Number(headers['content-length'] ?? 0))
    if (parsed === undefined) return undefined
    this.received = rest.subarray(parsed.length)
    return { method, path, headers, body: parsed.body.toString(), connection: this }
  }
}

function parseLength (bytes: Buffer, length: number): ParsedBody | undefined {
  return bytes.length < length ? undefined : { body: bytes.subarray(0, length), length }
}

function parseChunks (bytes: Buffer): ParsedBody | undefined {
  const chunks: Buffer[] = []
  let at = 0
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_END, at)
    if (lineEnd < 0) return undefined
    const size = parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16)
    const from = lineEnd + LINE_END.length
    const end = from + size + LINE_END.length
    if (bytes.length < end) return undefined
    if (size === 0) return { body: Buffer.concat(chunks), length: end }
    chunks.push(bytes.subarray(from, from + size))
    at = end
  }
}

/** Registered with a deployment like a `StubEndpoint`. */
export class RawEndpoint {
  address = ''
  readonly service = 'app'
  readonly dataCentre: string
  readonly build = 'v1'
  readonly connections = new Set<RawConnection>()
  private readonly server: Server
  private lives = 1

  constructor (readonly name: string, handle: RawRequestHandler, dataCentre = 'dc1') {
    this.dataCentre = dataCentre
    this.server = createServer((socket) => {
      const connection = new RawConnection(socket, handle)
      this.connections.add(connection)
      socket.once('close', () => this.connections.delete(connection))
    })
  }

  get incarnation (): string {
    return `${this.name}.${this.lives}`
  }

  /** Goes on as a new incarnation at the same address. */
  beginNewLife (): void {
    this.lives += 1
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Closes the connections of this moment, and waits until the other side has closed them too. */
  async closeConnections (): Promise<void> {
    await Promise.all([...this.connections].map(async ({ socket }) => {
      const closed = new Promise((resolve) => socket.once('close', resolve))
      socket.end()
      await closed
    }))
  }

  stop (): void {
    this.server.close()
    for (const { socket } of this.connections) socket.destroy()
  }
}
