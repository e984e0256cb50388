/** The server of a control process: links of all kinds of process, and the operators' HTTP interface. */
import { HttpServer, Koa } from '@gullwall/transport.http-server'
import { LinkAcceptor, type Link } from '@gullwall/transport.link'
import { type Message, type MessageOf } from '@gullwall/transport.messages'
import { memberAddresses, ownLinkAddress } from './membership.ts'
import { createOperatorApi } from './operator-api.ts'
import { type ControlServices } from './index.ts'
import { ThrottledAction } from './throttled-action.ts'

type ProcessRevision = MessageOf<'inForce'>['processes'][number]

const IN_FORCE_TIMEOUT_MS = 1000
/** How often entries are told which control processes there are, besides at every change seen here, in ms. */
const TELL_CONTROLS_MS = 2000
/**
 * After entries have come or gone all are told together, so often at most, in ms: when all of them start at once, each
 * would otherwise hear of each other one.
 */
const COUNT_SPACING_MS = 100
const LINK_TIMING = { heartbeatMs: 1000, silenceMs: 3000, handshakeMs: 2000 }

export class ControlServer {
  address = ''
  private readonly http: HttpServer
  /** Takes the links where they have an address of their own. */
  private readonly linkHttp: HttpServer | undefined
  private acceptor: LinkAcceptor | undefined
  private timer: NodeJS.Timeout | undefined
  private readonly counting = new ThrottledAction(() => COUNT_SPACING_MS, () => this.tellControls())
  private readonly announced = new Map<Link, string>()

  constructor (private readonly services: ControlServices) {
    this.http = new HttpServer(services.api?.(services) ?? createOperatorApi(services, () => this.collectProcessRevisions()))
    this.linkHttp = services.settings.links === undefined ? undefined : new HttpServer(new Koa())
  }

  async start (): Promise<void> {
    const { settings, startId, logger, store, members } = this.services
    this.acceptor = new LinkAcceptor((this.linkHttp ?? this.http).server, {
      local: { role: 'control', name: settings.member, startId, dataCentre: settings.dataCentre },
      sharedKey: settings.linkKey,
      logger,
      timing: LINK_TIMING,
      revision: () => store.revision,
      onOpen: (link) => this.opened(link),
      onMessage: (link, message) => this.receive(link, message),
      onRequest: (link, message) => this.answer(link, message),
      onClose: (link) => this.closed(link)
    })
    members.onChange((change) => this.forEachEntry((link) => link.send(change)))
    this.timer = setInterval(() => this.tellControls(), TELL_CONTROLS_MS)
    if (settings.links !== undefined) await this.linkHttp?.listen(settings.links)
    this.address = await this.http.listen(settings.listen)
  }

  async stop (): Promise<void> {
    clearInterval(this.timer)
    this.counting.stop()
    const closed = this.http.close()
    this.acceptor?.stop()
    await closed
    await this.linkHttp?.close()
  }

  /** What is in force at each process linked to this one or to a peer. */
  async collectProcessRevisions (): Promise<ProcessRevision[]> {
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
    if (link.peer.role !== 'entry') return
    link.send({ kind: 'members', whole: true, present: this.services.members.all(), gone: [] })
    this.services.registrar.sendAllLeases(link)
    link.send(this.controls())
    this.counting.request()
  }

  /** Tells the entries which control processes there are, and how many entries share the budgets. */
  private tellControls (): void {
    const message = this.controls()
    this.forEachEntry((link) => link.send(message))
  }

  private controls (): MessageOf<'controls'> {
    const { quorum, settings } = this.services
    const addresses = [...new Set([ownLinkAddress(settings), ...memberAddresses(quorum)])]
    const entries = new Set([...this.acceptor?.links ?? []].filter((link) => link.peer.role === 'entry').map((link) => link.peer.name)).size
    return { kind: 'controls', addresses, entries }
  }

  private closed (link: Link): void {
    this.services.spreader.closed(link)
    this.services.loadRelay.removeLink(link)
    if (link.peer.role === 'entry') this.counting.request()
    const address = this.announced.get(link)
    if (address === undefined) return
    this.announced.delete(link)
    // A sidecar that has linked anew is still there.
    if (![...this.announced.values()].includes(address)) this.services.members.linkClosed(address)
  }

  private receive (link: Link, message: Message): void {
    const { spreader, members } = this.services
    if (link.peer.role === 'control') {
      if (message.kind === 'members') members.applyPeerChange(link.peer.name, message)
      if (message.kind === 'leases') this.services.registrar.receiveFromPeer(message.leases)
      if (message.kind === 'workSums') this.services.loadRelay.receiveFromPeer(link, message)
      return
    }
    if (spreader.receive(link, message)) return
    if (message.kind === 'work') {
      this.services.loadRelay.receiveFromEntry(link, message)
      return
    }
    if (message.kind === 'draining') {
      this.services.registrar.receiveDraining(message.incarnations)
      return
    }
    if (message.kind === 'limits') {
      this.services.registrar.receiveLimits(message.limits)
      return
    }
    if (message.kind === 'usage') {
      this.services.usageReporter.receiveFromEntry(link, message)
      return
    }
    if (message.kind === 'announce') {
      this.announced.set(link, message.member.address)
      members.addLocal(message.member)
    }
  }

  private async answer (link: Link, message: Message): Promise<Message> {
    const { proposer, quorum } = this.services
    switch (message.kind) {
      case 'confirm': return await proposer.confirmRevision()
      case 'claim': return await proposer.claim(message)
      case 'settle': return await proposer.settle(message)
      case 'crashes': return await this.services.crashEvaluator.recordCrashes(message)
      case 'coldAsk': return await this.services.granter.handleRequest(message, { isForwarded: link.peer.role === 'control' })
    }
    if (link.peer.role !== 'control') return { kind: 'failed', code: 'ERR_GULLWALL_NOT_ALLOWED', message: `${message.kind} from ${link.peer.role}` }
    switch (message.kind) {
      case 'inForce': return { kind: 'inForce', processes: this.inForceHere() }
      case 'leases':
        this.services.leases.merge(message.leases)
        return { kind: 'done' }
      case 'usageOf': return this.services.usageReporter.getUsageParts(message.window)
      case 'join': return await this.admit(message)
      case 'propose': return { kind: 'proposed', ...await proposer.proposeLocally(message.data) }
      default: return await quorum.handle(message)
    }
  }

  private async admit (message: MessageOf<'join'>): Promise<Message> {
    const { quorum, peers } = this.services
    const leader = quorum.leaderName
    const { member, address, incarnation } = message
    if (quorum.role === 'leader') {
      await quorum.admit(member, { address, incarnation })
      return { kind: 'done' }
    }
    const leaderAddress = leader === undefined ? undefined : quorum.membership.voters[leader]?.address
    if (leaderAddress === undefined) return { kind: 'failed', code: 'ERR_GULLWALL_NO_QUORUM', message: 'no leader is known' }
    return await peers.call(leaderAddress, message, 'done', IN_FORCE_TIMEOUT_MS)
  }

  forEachEntry (send: (link: Link) => void): void {
    for (const link of this.acceptor?.links ?? []) {
      if (link.peer.role === 'entry') send(link)
    }
  }
}
