/** The accepting end of links, on an HTTP server. */
import { type Server } from 'node:http'
import { WebSocketServer } from 'ws'
import { Link, MAX_MESSAGE_BYTES, type LinkOptions } from './link.ts'

/** Takes links on the path `/link` of a server. */
export class LinkAcceptor {
  readonly links = new Set<Link>()
  /** Links that are not open yet. A server can't close while one of them opens after the stop. */
  private readonly opening = new Set<Link>()
  private readonly sockets: WebSocketServer

  constructor (server: Server, options: LinkOptions) {
    this.sockets = new WebSocketServer({ server, path: '/link', maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false })
    // The HTTP server reports its own errors; without a listener they would end the process twice.
    this.sockets.on('error', () => {})
    this.sockets.on('connection', (socket, request) => {
      const address = `${request.socket.remoteAddress}:${request.socket.remotePort}`
      const link = new Link(socket, address, {
        ...options,
        onOpen: (opened) => {
          this.opening.delete(opened)
          this.links.add(opened)
          options.onOpen(opened)
        },
        onClose: (closed, why) => {
          this.opening.delete(closed)
          this.links.delete(closed)
          options.onClose(closed, why)
        }
      })
      this.opening.add(link)
      link.hello()
    })
  }

  /** Sends a message to every open link. */
  broadcast (send: (link: Link) => void): void {
    for (const link of this.links) send(link)
  }

  stop (): void {
    for (const link of [...this.links, ...this.opening]) link.close('stopped')
    this.sockets.close()
  }
}
