/** The dialling end of a link: connects, and again after jittered back-off for as long as it is wanted. */
import { WebSocket } from 'ws'
import { DEFAULT_TIMING, Link, MAX_MESSAGE_BYTES, type LinkOptions } from './link.ts'

const FIRST_BACKOFF_MS = 50
const DEFAULT_MAX_BACKOFF_MS = 3000
const BACKOFF_FACTOR = 2
/**
 * The first tries are short, in ms: a machine that is just starting loses the packet that opens a connection, and the
 * system sends it again only after a second.
 */
const FIRST_HANDSHAKE_MS = 150

export interface DialOptions extends LinkOptions {
  /** Further addresses to try in turn, as of other control processes. */
  alternatives?: readonly string[]
  /** The longest wait before the next try, in ms. */
  maxBackoffMs?: number
}

/** Keeps one link to a peer. */
export class Dialer {
  link: Link | undefined
  private stopped = false
  private backoffMs = FIRST_BACKOFF_MS
  private handshakeMs = FIRST_HANDSHAKE_MS
  private retry: NodeJS.Timeout | undefined
  private attempt = 0

  constructor (readonly address: string, private readonly options: DialOptions) {
    this.connect()
  }

  /** Ends the link and dials no more. */
  stop (): void {
    this.stopped = true
    clearTimeout(this.retry)
    this.link?.close('stopped')
  }

  private connect (): void {
    const addresses = [this.address, ...(this.options.alternatives ?? [])]
    const address = addresses[this.attempt % addresses.length] ?? this.address
    this.attempt += 1
    const socket = new WebSocket(`ws://${address}/link`, {
      maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false, handshakeTimeout: Math.min(this.handshakeMs, this.longestHandshakeMs)
    })
    const link = new Link(socket, address, {
      ...this.options,
      onOpen: (opened) => {
        this.backoffMs = FIRST_BACKOFF_MS
        this.handshakeMs = FIRST_HANDSHAKE_MS
        this.options.onOpen(opened)
      },
      onClose: (closed, why) => {
        if (this.link === closed) this.link = undefined
        this.options.onClose(closed, why)
        this.reconnectLater()
      }
    })
    this.link = link
    socket.on('open', () => link.hello())
  }

  private reconnectLater (): void {
    if (this.stopped) return
    const jitter = 0.5 + Math.random()
    this.retry = setTimeout(() => this.connect(), this.backoffMs * jitter)
    this.backoffMs = Math.min(this.backoffMs * BACKOFF_FACTOR, this.options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS)
    this.handshakeMs = Math.min(this.handshakeMs * BACKOFF_FACTOR, this.longestHandshakeMs)
  }

  private get longestHandshakeMs (): number {
    return { ...DEFAULT_TIMING, ...this.options.timing }.handshakeMs
  }
}
