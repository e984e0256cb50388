/** The server of a control process. It accepts the links of all other processes and serves the operators' HTTP interface. */
import { HttpServer, Koa } from '@gullwall/transport.http-server'
import { LinkAcceptor, type Link } from '@gullwall/transport.link'
import { type Message, type MessageOf } from '@gullwall/transport.messages'
import { memberAddresses, ownLinkAddress } from './membership.ts'
import { createOperatorApi } from './operator-api.ts'
import { type ControlServices } from './index.ts'
import { ThrottledAction } from '@gullwall/core.clock'

type ProcessRevision = MessageOf<'inForce'>['processes'][number]

const PEER_REQUEST_TIMEOUT_MS = 1000
/** Interval at which entries receive the list of control processes, in ms. They also receive it after changes that this process sees. */
const PUBLISH_CONTROLS_INTERVAL_MS = 2000
/**
 * Shortest interval between publications of the number of entries, in ms. Without batching, each entry would receive one message for
 * every other entry when all entries start at once.
 */
const ENTRY_COUNT_INTERVAL_MS = 100
const LINK_TIMING = { heartbeatMs: 1000, silenceMs: 3000, handshakeMs: 2000 }

export class ControlServer {
  address = ''
  private readonly http: HttpServer
  /** Accepts the links if the settings give them an address of their own. */
  private readonly linkHttp: HttpServer | undefined
  private acceptor: LinkAcceptor | undefined
  private timer: NodeJS.Timeout | undefined
  private readonly publishingCount = new ThrottledAction(() => ENTRY_COUNT_INTERVAL_MS, () => this.publishControls())
  private readonly announcedAddresses = new Map<Link, string>()

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
      onOpen: (link) => this.handleOpen(link),
      onMessage: (link, message) => this.handleMessage(link, message),
      onRequest: (link, message) => this.handleRequest(link, message),
      onClose: (link) => this.handleClose(link)
    })
    members.onChange((change) => this.forEachEntry((link) => link.send(change)))
    this.timer = setInterval(() => this.publishControls(), PUBLISH_CONTROLS_INTERVAL_MS)
    if (settings.links !== undefined) await this.linkHttp?.listen(settings.links)
    this.address = await this.http.listen(settings.listen)
  }

  async stop (): Promise<void> {
    clearInterval(this.timer)
    this.publishingCount.stop()
    const closed = this.http.close()
    this.acceptor?.stop()
    await closed
    await this.linkHttp?.close()
  }

  /** Returns the active revision of each process that is linked to this process or to a peer. */
  async collectProcessRevisions (): Promise<ProcessRevision[]> {
    const requests = this.services.peers.links().map(async (link) => {
      try {
        return (await link.request({ kind: 'inForce', processes: [] }, 'inForce', PEER_REQUEST_TIMEOUT_MS)).processes
      } catch {
        return []
      }
    })
    return [...this.localRevisions(), ...(await Promise.all(requests)).flat()]
  }

  private localRevisions (): ProcessRevision[] {
    const { settings, store, spreader } = this.services
    return [{ process: `control/${settings.member}`, revision: store.revision }, ...spreader.inForce()]
  }

  private handleOpen (link: Link): void {
    if (link.peer.role === 'control') return
    this.services.spreader.opened(link)
    if (link.peer.role !== 'entry') return
    link.send({ kind: 'members', whole: true, present: this.services.members.all(), gone: [] })
    this.services.registrar.sendAllLeases(link)
    link.send(this.createControlsMessage())
    this.publishingCount.request()
  }

  /** Sends the entries the list of control processes and the number of entries that share the budgets. */
  private publishControls (): void {
    const message = this.createControlsMessage()
    this.forEachEntry((link) => link.send(message))
  }

  private createControlsMessage (): MessageOf<'controls'> {
    const { quorum, settings } = this.services
    const addresses = [...new Set([ownLinkAddress(settings), ...memberAddresses(quorum)])]
    const entries = new Set([...this.acceptor?.links ?? []].filter((link) => link.peer.role === 'entry').map((link) => link.peer.name)).size
    return { kind: 'controls', addresses, entries }
  }

  private handleClose (link: Link): void {
    this.services.spreader.closed(link)
    this.services.loadRelay.removeLink(link)
    if (link.peer.role === 'entry') this.publishingCount.request()
    const address = this.announcedAddresses.get(link)
    if (address === undefined) return
    this.announcedAddresses.delete(link)
    // A sidecar that has opened another link is still connected.
    if (![...this.announcedAddresses.values()].includes(address)) this.services.members.linkClosed(address)
  }

  private handleMessage (link: Link, message: Message): void {
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
    if (message.kind === 'streamBuilds') {
      this.services.streamBuilds.receive(message)
      return
    }
    if (message.kind === 'partRuns') {
      this.services.partEvaluator.receiveRuns(message)
      return
    }
    if (message.kind === 'usage') {
      this.services.usageReporter.receiveFromEntry(link, message)
      return
    }
    if (message.kind === 'announce') {
      this.announcedAddresses.set(link, message.member.address)
      members.addLocal(message.member)
    }
  }

  private async handleRequest (link: Link, message: Message): Promise<Message> {
    const { proposer, quorum } = this.services
    switch (message.kind) {
      case 'confirm': return await proposer.confirmRevision()
      case 'claim': return await proposer.claim(message)
      case 'settle': return await proposer.settle(message)
      case 'crashes': return await this.services.crashEvaluator.recordCrashes(message)
      case 'streamBuildOf': return this.services.streamBuilds.answer(message)
      case 'onlyBuildOf': return this.services.streamBuilds.answerOnly(message)
      case 'coldAsk': return await this.services.granter.handleRequest(message, { isForwarded: link.peer.role === 'control' })
    }
    if (link.peer.role !== 'control') return { kind: 'failed', code: 'ERR_GULLWALL_NOT_ALLOWED', message: `${message.kind} from ${link.peer.role}` }
    switch (message.kind) {
      case 'inForce': return { kind: 'inForce', processes: this.localRevisions() }
      case 'leases':
        await this.services.registrar.confirmToPeer(message.leases)
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
    return await peers.call(leaderAddress, message, 'done', PEER_REQUEST_TIMEOUT_MS)
  }

  /** Calls a function for the link of each process that runs requests at endpoints. */
  forEachRunner (send: (link: Link) => void): void {
    for (const link of this.acceptor?.links ?? []) {
      if (link.peer.role !== 'control') send(link)
    }
  }

  forEachEntry (send: (link: Link) => void): void {
    for (const link of this.acceptor?.links ?? []) {
      if (link.peer.role === 'entry') send(link)
    }
  }
}
