/** Links to every control process that is known: they bring the document, leases and each other's addresses. */
import { linkAddresses, Regions, type GatewaySettings } from '@gullwall/config.settings'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { Dialer, type Link } from '@gullwall/transport.link'
import { type Grant, type GrantRequest, type Lease, type Message, type MessageOf } from '@gullwall/transport.messages'
import { ControlAddresses } from './control-addresses.ts'
import { EntryCount } from './entry-count.ts'
import { type GatewayServices } from './index.ts'
import { PrimaryLinkSelector } from './primary-link-selector.ts'
import { isStartingUp } from './start-up.ts'

const MAX_BACKOFF_MS = 500
const TIMING = { heartbeatMs: 1000, silenceMs: 2500, handshakeMs: 1000 }
const CONFIRM_TIMEOUT_MS = 1000
/** A grant that comes later than this after it was asked for can't be used any more, in ms. */
const COLD_TIMEOUT_MS = 500
/** Another control process is told of crashes when one has not answered for so long, in ms: several times a quorum's round. */
const CRASHES_TIMEOUT_MS = 1000
/** The first question for the newest revision is asked again soon, since a quorum may just be forming; later ones more rarely. In ms. */
const FIRST_CONFIRM_RETRY_MS = 25
const MAX_CONFIRM_RETRY_MS = 200
const CONFIRM_BACKOFF_FACTOR = 1.5
/** Without a quorum, what a single control process tells is used after this time: it may be older, but never undone later. */
const UNCONFIRMED_AFTER_MS = 2500

/** What an entry tells of its work. */
export type EntryLoad = Pick<MessageOf<'work'>, 'works' | 'holdings' | 'observations'>

const FAREWELL: MessageOf<'work'> = { kind: 'work', works: [], holdings: [], observations: [], listens: false }

export class ControlLinks {
  private readonly dialers = new Map<string, Dialer>()
  private readonly addresses = new ControlAddresses()
  private confirmedRevision: number | undefined
  private readonly startedAt = performance.now()
  private stopped = false
  private timer: NodeJS.Timeout | undefined
  /** The link over which this entry tells of its work and hears of the others'. */
  private listensTo: Link | undefined
  private readonly listening: PrimaryLinkSelector
  private readonly entryCount = new EntryCount()
  /** Requests that failed. */
  private failures = 0
  private confirmRetryMs = FIRST_CONFIRM_RETRY_MS

  constructor (private readonly services: GatewayServices) {
    this.listening = new PrimaryLinkSelector(services.settings.dataCentre, new Regions(services.settings.regions))
  }

  start (): void {
    this.dialSeeds(this.services.settings)
    void this.confirmOnce()
  }

  /** Links to the control processes that settings name. */
  dialSeeds ({ seeds, linkPort }: Pick<GatewaySettings, 'seeds' | 'linkPort'>): void {
    const addresses = linkAddresses(seeds, linkPort)
    this.addresses.setSeeds(addresses, performance.now())
    this.dialAll(addresses)
  }

  /** Gives up control processes that are gone for good. */
  removeExpiredControls (now: number): void {
    const linked = this.links().map(({ address }) => address)
    for (const address of this.addresses.removeExpired(linked, now)) {
      const dialer = this.dialers.get(address)
      if (dialer === undefined) continue
      dialer.stop()
      this.dialers.delete(address)
      this.services.logger.info({ channel: 'link', event: 'closed', peer: address, why: 'not linked, and named by nobody any more' })
    }
  }

  /** The addresses that are linked or dialled. */
  get dialledAddresses (): string[] {
    return [...this.dialers.keys()]
  }

  stop (): void {
    this.stopped = true
    clearTimeout(this.timer)
    for (const dialer of this.dialers.values()) dialer.stop()
  }

  get openCount (): number {
    return this.links().length
  }

  /** The open link to the control process that this entry tells of its work. */
  get primaryLink (): Link | undefined {
    return this.listensTo?.isOpen === true ? this.listensTo : undefined
  }

  /**
   * Tells one control process what this entry has under way; false if no link is open. From then on that process tells
   * what the others have.
   */
  reportLoad (word: EntryLoad): boolean {
    const chosen = this.listening.select(this.links(), this.dialers.size, performance.now())
    if (chosen !== this.listensTo) this.listensTo?.send(FAREWELL)
    this.listensTo = chosen
    return chosen?.send({ kind: 'work', ...word, listens: true }) ?? false
  }

  /**
   * Asks control for leave to send to endpoints that are cold or limited.
   * @throws ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT, ERR_GULLWALL_PEER_FAILED
   */
  async requestGrants (wishes: GrantRequest[]): Promise<Grant[]> {
    return (await this.ask({ kind: 'coldAsk', entry: this.services.settings.box, wishes }, 'coldGranted', COLD_TIMEOUT_MS)).grants
  }

  /**
   * Tells control of crashed endpoints; a quorum has it once this resolves.
   * @throws ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT, ERR_GULLWALL_PEER_FAILED; the same may be told again
   */
  async reportCrashes (word: Omit<MessageOf<'crashes'>, 'kind'>): Promise<void> {
    await this.ask({ kind: 'crashes', ...word }, 'done', CRASHES_TIMEOUT_MS)
  }

  /** Tells control of endpoints that said in an answer that they drain; who can't be reached now is told once it speaks of them. */
  reportDraining (incarnations: string[]): void {
    for (const link of this.links()) link.send({ kind: 'draining', incarnations })
  }

  /** Tells control what endpoints have said of their limits; who can't be reached now is told once it speaks of them. */
  reportLimits (limits: MessageOf<'limits'>['limits']): void {
    for (const link of this.links()) link.send({ kind: 'limits', limits })
  }

  /** Asks one control process; after a failure another one, since the first may be cut off from the one that leads. */
  private async ask<Kind extends 'coldGranted' | 'done'> (message: Message, expected: Kind, timeoutMs: number): Promise<MessageOf<Kind>> {
    const links = [...new Set([this.primaryLink, ...this.links()])].filter((link) => link !== undefined)
    const link = links[this.failures % Math.max(1, links.length)]
    if (link === undefined) throw new GullwallError('ERR_GULLWALL_LINK_CLOSED', 'no link to control', { step: message.kind })
    try {
      return await link.request(message, expected, timeoutMs)
    } catch (error) {
      this.failures += 1
      throw error
    }
  }

  /** Why this process should not take requests yet; undefined if it may. */
  findNotReadyReason (): string | undefined {
    const { view, store } = this.services
    if (view.table === undefined) return 'no document is known'
    if (view.endpointCount === 0) return 'no endpoint is known'
    if (this.isConfirmed(store.revision)) return undefined
    return performance.now() - this.startedAt > UNCONFIRMED_AFTER_MS ? undefined : 'the document is not confirmed by a quorum yet'
  }

  private isConfirmed (revision: number): boolean {
    return this.confirmedRevision !== undefined && revision >= this.confirmedRevision
  }

  private links (): Link[] {
    return [...this.dialers.values()].flatMap((dialer) => dialer.link?.isOpen === true ? [dialer.link] : [])
  }

  private dialAll (addresses: readonly string[]): void {
    const { settings, startId, logger, store, spreader } = this.services
    for (const address of addresses) {
      if (this.dialers.has(address)) continue
      this.dialers.set(address, new Dialer(address, {
        local: { role: 'entry', name: settings.box, startId, dataCentre: settings.dataCentre },
        sharedKey: settings.linkKey,
        logger,
        timing: TIMING,
        maxBackoffMs: MAX_BACKOFF_MS,
        revision: () => store.revision,
        onOpen: (link) => spreader.opened(link),
        onMessage: (link, message) => this.receive(link, message),
        onClose: (link) => {
          spreader.closed(link)
          this.listening.forget(link)
        }
      }))
    }
  }

  private receive (link: Link, message: Message): void {
    const { spreader } = this.services
    if (spreader.receive(link, message)) return
    if (message.kind === 'workSums' && link === this.listensTo) this.receiveWork(link, message)
    if (message.kind === 'readings') this.services.loadExchange.adoptReadings(message)
    if (message.kind === 'leases') this.takeLeases(link, message.leases)
    if (message.kind !== 'controls') return
    this.addresses.recordAnnounced(message.addresses, performance.now())
    this.removeExpiredControls(performance.now())
    this.countEntries(link.address, message.entries)
    this.dialOthers(message.addresses)
  }

  /** Takes leases; a process that has not heard yet that an endpoint drains, or of its limit, is told so again. */
  private takeLeases (link: Link, leases: readonly Lease[]): void {
    this.services.view.leases.merge(leases)
    const incarnations = this.services.notices.findDrainingReportedReady(leases)
    if (incarnations.length > 0) link.send({ kind: 'draining', incarnations })
    const limits = this.services.notices.findLimitsToReport(leases)
    if (limits.length > 0) link.send({ kind: 'limits', limits })
  }

  /**
   * Links to the control processes that the first ones name. A process that has just started first takes what it needs from
   * those of its settings: each further link costs processor time in which callers wait.
   */
  private dialOthers (addresses: readonly string[]): void {
    const isPressed = this.findNotReadyReason() !== undefined && isStartingUp(performance.now(), this.services.startedAt)
    // Control tells its addresses again within two seconds.
    if (!isPressed) this.dialAll(addresses)
  }

  private countEntries (address: string, entries: number): void {
    const now = performance.now()
    this.entryCount.record(address, entries, now)
    this.services.view.entryCount = this.entryCount.count(this.openCount > this.dialers.size / 2, now)
  }

  private receiveWork (link: Link, message: MessageOf<'workSums'>): void {
    this.listening.recordPeers(link, message.peers, performance.now())
    this.services.loadExchange.receive(message)
  }

  /** Asks until a quorum has said which revision is the newest; from then on the links keep this process up to date. */
  private async confirmOnce (): Promise<void> {
    for (const link of this.listening.sortByDistance(this.links())) {
      try {
        const { revision } = await link.request({ kind: 'confirm' }, 'confirmed', CONFIRM_TIMEOUT_MS)
        this.confirmedRevision = revision
        this.services.logger.info({ channel: 'configuration', event: 'confirmed', revision, why: `by a quorum through ${link.address}` })
        return
      } catch (error) {
        this.services.logger.debug({ channel: 'link', event: 'refused', peer: link.address, why: messageOf(error) })
      }
    }
    if (this.stopped) return
    this.timer = setTimeout(() => { void this.confirmOnce() }, this.confirmRetryMs)
    this.confirmRetryMs = Math.min(MAX_CONFIRM_RETRY_MS, CONFIRM_BACKOFF_FACTOR * this.confirmRetryMs)
  }
}
