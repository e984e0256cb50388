/** One link: handshake, heartbeats, messages, requests with replies, bounded send queue. */
import { type WebSocket } from 'ws'
import { GullwallError } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { parseMessage, type Message, type MessageKind, type MessageOf } from '@gullwall/transport.messages'
import { identitySchema, newIdentity, PROTOCOL_VERSION, proofMatches, proofOf, proofSchema, type LinkIdentity, type LocalIdentity } from './handshake.ts'
import { decode, encode } from './codec.ts'

/** What a link is told by its owner, on either end. */
export interface LinkOptions {
  local: LocalIdentity
  sharedKey: string
  logger: Logger
  /** The revision that heartbeats carry. */
  revision: () => number
  onOpen: (link: Link) => void
  onMessage: (link: Link, message: Message) => void
  /** Answers a request; a thrown error goes back as `failed`. */
  onRequest?: (link: Link, message: Message) => Promise<Message>
  onClose: (link: Link, why: string) => void
  timing?: Partial<LinkTiming>
}

export interface LinkTiming {
  heartbeatMs: number
  /** A link on which nothing arrives for so long is closed. */
  silenceMs: number
  handshakeMs: number
}

export const DEFAULT_TIMING: LinkTiming = { heartbeatMs: 1000, silenceMs: 3000, handshakeMs: 3000 }

/** Above so many unsent bytes a link is closed: the peer no longer reads. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024
/** The largest message that is taken. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024
const DEFAULT_REQUEST_TIMEOUT_MS = 5000

/** A message on the wire, with the numbers that join a reply to its request. */
interface Frame {
  request?: number
  reply?: number
  message: unknown
}

interface PendingRequest {
  resolve: (message: Message) => void
  reject: (error: Error) => void
  timer: NodeJS.Timeout
}

/** Bytes and messages of all links of this process since its start. */
export const linkTotals = { bytesSent: 0, bytesReceived: 0, messagesSent: 0, messagesReceived: 0 }

export class Link {
  /** Who is on the other side; known once the link is open. */
  peer: LinkIdentity
  /** Messages of kinds that this version does not know. */
  unknownMessages = 0
  private state: 'hello' | 'proof' | 'open' | 'closed' = 'hello'
  private readonly mine: LinkIdentity
  private readonly timing: LinkTiming
  private readonly pending = new Map<number, PendingRequest>()
  private nextRequest = 1
  private heardAt = performance.now()
  private timer: NodeJS.Timeout

  constructor (private readonly socket: WebSocket, readonly address: string, private readonly options: LinkOptions) {
    this.mine = newIdentity(options.local)
    this.peer = { ...this.mine, name: address, startId: '', nonce: '' }
    this.timing = { ...DEFAULT_TIMING, ...options.timing }
    this.timer = setTimeout(() => this.close('handshake took too long'), this.timing.handshakeMs)
    socket.on('message', (data: Buffer) => this.receive(data))
    socket.on('close', () => this.ended('closed by peer'))
    socket.on('error', (error) => this.ended(error.message))
  }

  get isOpen (): boolean {
    return this.state === 'open'
  }

  /** Begins the handshake; called once the socket is connected. */
  hello (): void {
    this.write(this.mine)
  }

  /** Sends a message; false if the link is not open. */
  send (message: Message): boolean {
    if (this.state !== 'open') return false
    this.write({ message })
    return true
  }

  /**
   * Sends a request and gives the reply.
   * @throws ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT, ERR_GULLWALL_PEER_FAILED
   */
  request<Kind extends MessageKind> (message: Message, expected: Kind, timeoutMs = DEFAULT_REQUEST_TIMEOUT_MS): Promise<MessageOf<Kind>> {
    if (this.state !== 'open') return Promise.reject(this.error('ERR_GULLWALL_LINK_CLOSED', message.kind, 'the link is closed'))
    const id = this.nextRequest++
    return new Promise<Message>((resolve, reject) => {
      const timer = setTimeout(() => {
        this.pending.delete(id)
        reject(this.error('ERR_GULLWALL_LINK_TIMEOUT', message.kind, `no reply within ${timeoutMs} ms`))
      }, timeoutMs)
      this.pending.set(id, { resolve, reject, timer })
      this.write({ request: id, message })
    }).then((reply) => {
      if (reply.kind === expected) return reply as MessageOf<Kind>
      throw this.error('ERR_GULLWALL_PEER_FAILED', message.kind, reply.kind === 'failed' ? `${reply.code}: ${reply.message}` : `unexpected reply ${reply.kind}`)
    })
  }

  close (why: string): void {
    if (this.state === 'closed') return
    this.ended(why)
    this.socket.close()
    // A peer that is frozen never answers the closing handshake.
    setTimeout(() => this.socket.terminate(), this.timing.handshakeMs).unref()
  }

  private receive (data: Buffer): void {
    this.heardAt = performance.now()
    linkTotals.bytesReceived += data.length
    linkTotals.messagesReceived += 1
    let value: unknown
    try {
      value = decode(data, MAX_MESSAGE_BYTES)
    } catch {
      this.malformed('bytes that are not msgpack')
      return
    }
    switch (this.state) {
      case 'hello': this.receiveIdentity(value); break
      case 'proof': this.receiveProof(value); break
      case 'open': this.receiveFrame(value); break
      case 'closed': break
    }
  }

  private receiveIdentity (value: unknown): void {
    const parsed = identitySchema.safeParse(value)
    if (!parsed.success || parsed.data.nonce === this.mine.nonce) {
      this.malformed('no identity')
      return
    }
    if (parsed.data.protocol !== PROTOCOL_VERSION) {
      this.refuse(`protocol version ${parsed.data.protocol}, here ${PROTOCOL_VERSION}`)
      return
    }
    this.peer = parsed.data
    this.state = 'proof'
    this.write({ proof: proofOf(this.options.sharedKey, this.mine, this.peer) })
  }

  private receiveProof (value: unknown): void {
    const parsed = proofSchema.safeParse(value)
    if (!parsed.success || !proofMatches(this.options.sharedKey, this.mine, this.peer, parsed.data.proof)) {
      this.refuse('the shared key was not proved')
      return
    }
    this.state = 'open'
    clearTimeout(this.timer)
    this.timer = setInterval(() => this.heartbeat(), this.timing.heartbeatMs)
    this.options.logger.info({ channel: 'link', event: 'open', peer: this.peerName, why: `${this.peer.role} ${this.peer.startId}` })
    this.options.onOpen(this)
    this.heartbeat()
  }

  private receiveFrame (value: unknown): void {
    const frame = value as Frame | null
    const parsed = parseMessage(frame?.message)
    if (!parsed.ok) {
      if (parsed.reason === 'malformed') this.malformed('a message that fails its check')
      else this.unknownMessages += 1
      return
    }
    if (frame?.reply !== undefined) {
      this.settle(frame.reply, parsed.message)
    } else if (frame?.request !== undefined) {
      void this.answer(frame.request, parsed.message)
    } else {
      this.options.onMessage(this, parsed.message)
    }
  }

  private async answer (request: number, message: Message): Promise<void> {
    const reply = await this.replyTo(message)
    if (this.state === 'open') this.write({ reply: request, message: reply })
  }

  private async replyTo (message: Message): Promise<Message> {
    try {
      if (this.options.onRequest === undefined) throw this.error('ERR_GULLWALL_NO_REQUESTS', message.kind, 'takes no requests')
      return await this.options.onRequest(this, message)
    } catch (error) {
      const code = error instanceof GullwallError ? error.code : 'ERR_GULLWALL_UNEXPECTED'
      return { kind: 'failed', code, message: error instanceof Error ? error.message : String(error) }
    }
  }

  private settle (id: number, message: Message): void {
    const pending = this.pending.get(id)
    if (pending === undefined) return
    this.pending.delete(id)
    clearTimeout(pending.timer)
    pending.resolve(message)
  }

  private heartbeat (): void {
    if (performance.now() - this.heardAt > this.timing.silenceMs) {
      this.close('silent')
      return
    }
    this.write({ message: { kind: 'heartbeat', revision: this.options.revision() } })
  }

  private write (value: object): void {
    if (this.socket.readyState !== this.socket.OPEN) return
    if (this.socket.bufferedAmount > MAX_UNSENT_BYTES) {
      this.log('overflow', `${this.socket.bufferedAmount} bytes unsent`)
      this.close('send queue full')
      return
    }
    const data = encode(value)
    linkTotals.bytesSent += data.length
    linkTotals.messagesSent += 1
    this.socket.send(data)
  }

  private malformed (why: string): void {
    this.log('malformed', why)
    this.close(`malformed: ${why}`)
  }

  private refuse (why: string): void {
    this.log('refused', why)
    this.close(`refused: ${why}`)
  }

  private ended (why: string): void {
    if (this.state === 'closed') return
    const wasOpen = this.state === 'open'
    this.state = 'closed'
    clearTimeout(this.timer)
    clearInterval(this.timer)
    for (const pending of this.pending.values()) {
      clearTimeout(pending.timer)
      pending.reject(this.error('ERR_GULLWALL_LINK_CLOSED', 'reply', why))
    }
    this.pending.clear()
    if (wasOpen) this.log('closed', why)
    this.options.onClose(this, why)
  }

  private get peerName (): string {
    return `${this.peer.name}@${this.address}`
  }

  private log (event: 'closed' | 'refused' | 'malformed' | 'overflow', why: string): void {
    this.options.logger.warn({ channel: 'link', event, peer: this.peerName, why })
  }

  private error (code: `ERR_GULLWALL_${string}`, step: string, message: string): GullwallError {
    return new GullwallError(code, message, { step: `link ${step}`, peer: this.peerName })
  }
}
