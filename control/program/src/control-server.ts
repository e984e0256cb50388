/** The server of a control process: links of all kinds of process, and the operators' HTTP interface. */
import { HttpServer } from '@gullwall/transport.http-server'
import { LinkAcceptor, type Link } from '@gullwall/transport.link'
import { type Message, type MessageOf } from '@gullwall/transport.messages'
import { createOperatorApi } from './operator-api.ts'
import { type ControlServices } from './index.ts'

type ProcessRevision = MessageOf<'inForce'>['processes'][number]

const IN_FORCE_TIMEOUT_MS = 1000

export class ControlServer {
  address = ''
  private readonly http: HttpServer
  private acceptor: LinkAcceptor | undefined
  private readonly announced = new Map<Link, string>()

  constructor (private readonly services: ControlServices) {
    this.http = new HttpServer(createOperatorApi(services, () => this.inForceEverywhere()))
  }

  async start (): Promise<void> {
    const { settings, startId, logger, store, members } = this.services
    this.acceptor = new LinkAcceptor(this.http.server, {
      local: { role: 'control', name: settings.member, startId, dataCentre: settings.dataCentre },
      sharedKey: settings.linkKey,
      logger,
      revision: () => store.revision,
      onOpen: (link) => this.opened(link),
      onMessage: (link, message) => this.receive(link, message),
      onRequest: (link, message) => this.answer(link, message),
      onClose: (link) => this.closed(link)
    })
    members.onChange((change) => this.toEntries((link) => link.send(change)))
    this.address = await this.http.listen(settings.listen)
  }

  async stop (): Promise<void> {
    const closed = this.http.close()
    this.acceptor?.stop()
    await closed
  }

  /** What is in force at each process linked to this one or to a peer. */
  async inForceEverywhere (): Promise<ProcessRevision[]> {
    const asked = this.services.peers.links().map(async (link) => {
      try {
        return (await link.request({ kind: 'inForce', processes: [] }, 'inForce', IN_FORCE_TIMEOUT_MS)).processes
      } catch {
        return []
      }
    })
    return [...this.inForceHere(), ...(await Promise.all(asked)).flat()]
  }

  private inForceHere (): ProcessRevision[] {
    const { settings, store, spreader } = this.services
    return [{ process: `control/${settings.member}`, revision: store.revision }, ...spreader.inForce()]
  }

  private opened (link: Link): void {
    if (link.peer.role === 'control') return
    this.services.spreader.opened(link)
    if (link.peer.role === 'entry') link.send({ kind: 'members', whole: true, present: this.services.members.all(), gone: [] })
  }

  private closed (link: Link): void {
    this.services.spreader.closed(link)
    const address = this.announced.get(link)
    if (address === undefined) return
    this.announced.delete(link)
    // A sidecar that has linked anew is still there.
    if (![...this.announced.values()].includes(address)) this.services.members.linkClosed(address)
  }

  private receive (link: Link, message: Message): void {
    const { spreader, members } = this.services
    if (link.peer.role === 'control') {
      if (message.kind === 'members') members.learn(link.peer.name, message)
      return
    }
    if (spreader.receive(link, message)) return
    if (message.kind === 'announce') {
      this.announced.set(link, message.member.address)
      members.announce(message.member)
    }
  }

  private async answer (link: Link, message: Message): Promise<Message> {
    const { proposer, quorum } = this.services
    switch (message.kind) {
      case 'confirm': return await proposer.confirm()
      case 'claim': return await proposer.claim(message)
      case 'settle': return await proposer.settle(message)
    }
    if (link.peer.role !== 'control') return { kind: 'failed', code: 'ERR_GULLWALL_NOT_ALLOWED', message: `${message.kind} from ${link.peer.role}` }
    switch (message.kind) {
      case 'inForce': return { kind: 'inForce', processes: this.inForceHere() }
      case 'propose': return { kind: 'proposed', ...await proposer.proposeHere(message.data) }
      default: return await quorum.handle(message)
    }
  }

  private toEntries (send: (link: Link) => void): void {
    for (const link of this.acceptor?.links ?? []) {
      if (link.peer.role === 'entry') send(link)
    }
  }
}
