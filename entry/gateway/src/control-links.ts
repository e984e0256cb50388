/** Links to all known control processes, which send the document, the leases and the addresses of other control processes. */
import { linkAddresses, Regions, type GatewaySettings } from '@gullwall/config.settings'
import { suspensions } from '@gullwall/core.clock'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { retryMemoryMs } from '@gullwall/routing.balancer'
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
/** Timeout of a grant request, in ms. A grant that arrives later is no longer usable. */
const GRANT_TIMEOUT_MS = 500
/** Timeout of a crash report, in ms, before it is sent to another control process: several times a round of the quorum. */
const CRASH_REPORT_TIMEOUT_MS = 1000
/** Delay before the first retry of the request for the newest revision, in ms: short, since a quorum may just be forming. */
const FIRST_CONFIRM_RETRY_MS = 25
/** Upper limit of the delay between such retries, in ms. */
const MAX_CONFIRM_RETRY_MS = 200
const CONFIRM_BACKOFF_FACTOR = 1.5
/**
 * Without a quorum, the document of a single control process is used after this time, in ms. It may be outdated, but will not
 * be rolled back.
 */
const UNCONFIRMED_AFTER_MS = 2500

/** The load summary that an entry sends to control. */
export type EntryLoad = Pick<MessageOf<'work'>, 'works' | 'holdings' | 'observations'>

/** Tells a control process to send no more load of the other entries. */
const UNSUBSCRIBE: MessageOf<'work'> = { kind: 'work', works: [], holdings: [], observations: [], listens: false }

export class ControlLinks {
  private readonly dialers = new Map<string, Dialer>()
  private readonly addresses = new ControlAddresses()
  private confirmedRevision: number | undefined
  private readonly startedAt = performance.now()
  private stopped = false
  private timer: NodeJS.Timeout | undefined
  /** The link over which this entry sends its load and receives the load of the other entries. */
  private primary: Link | undefined
  private readonly regions: Regions
  private readonly selector: PrimaryLinkSelector
  private readonly entryCount: EntryCount
  /** Number of failed requests. */
  private failures = 0
  private confirmRetryMs = FIRST_CONFIRM_RETRY_MS

  constructor (private readonly services: GatewayServices) {
    this.regions = new Regions(services.settings.regions)
    this.selector = new PrimaryLinkSelector(services.settings.dataCentre, this.regions)
    this.entryCount = new EntryCount({
      windowMs: retryMemoryMs(services.settings.retryWindowMs), suspendedMs: () => suspensions.suspendedMs()
    })
  }

  start (): void {
    this.dialSeeds(this.services.settings)
    void this.confirmRevision()
  }

  /** Dials the control processes that the settings name. */
  dialSeeds ({ seeds, linkPort }: Pick<GatewaySettings, 'seeds' | 'linkPort'>): void {
    const addresses = linkAddresses(seeds, linkPort)
    this.addresses.setSeeds(addresses, performance.now())
    this.dialAll(addresses)
  }

  /** Stops dialling the control processes whose addresses have expired. */
  removeExpiredControls (now: number): void {
    const linked = this.links().map(({ address }) => address)
    for (const address of this.addresses.removeExpired(linked, now)) {
      const dialer = this.dialers.get(address)
      if (dialer === undefined) continue
      dialer.stop()
      this.dialers.delete(address)
      this.services.logger.info({ channel: 'link', event: 'closed', peer: address, why: 'not linked and no longer announced' })
    }
  }

  /** The addresses of control processes that are linked or being dialled. */
  get dialledAddresses (): string[] {
    return [...this.dialers.keys()]
  }

  /** Number of control processes that are known, those that are not dialled yet included. */
  get knownCount (): number {
    return this.addresses.size
  }

  stop (): void {
    this.stopped = true
    clearTimeout(this.timer)
    for (const dialer of this.dialers.values()) dialer.stop()
  }

  get openCount (): number {
    return this.links().length
  }

  /** The open link to the control process with which this entry exchanges load summaries. */
  get primaryLink (): Link | undefined {
    return this.primary?.isOpen === true ? this.primary : undefined
  }

  /**
   * Sends the load of this entry to one control process, which then sends the load of the other entries in return. Returns false
   * if no link is open.
   */
  reportLoad (report: EntryLoad): boolean {
    const chosen = this.selector.select(this.links(), this.dialers.size, performance.now())
    if (chosen !== this.primary) this.primary?.send(UNSUBSCRIBE)
    this.primary = chosen
    return chosen?.send({ kind: 'work', ...report, listens: true }) ?? false
  }

  /**
   * Requests grants for endpoints that are cold or have a rate limit.
   * @throws ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT, ERR_GULLWALL_PEER_FAILED
   */
  async requestGrants (wishes: GrantRequest[]): Promise<Grant[]> {
    return (await this.requestAny({ kind: 'coldAsk', entry: this.services.settings.box, wishes }, 'coldGranted', GRANT_TIMEOUT_MS)).grants
  }

  /**
   * Reports crashed endpoints to control. A quorum has stored the report once this resolves.
   * @throws ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT, ERR_GULLWALL_PEER_FAILED; the report can be sent again
   */
  async reportCrashes (report: Omit<MessageOf<'crashes'>, 'kind'>): Promise<void> {
    await this.requestAny({ kind: 'crashes', ...report }, 'done', CRASH_REPORT_TIMEOUT_MS)
  }

  /**
   * Reports to control the endpoints that have announced in an answer that they are draining. A control process without an open
   * link receives the report later, when it sends a lease that contradicts it.
   */
  reportDraining (incarnations: string[]): void {
    for (const link of this.links()) link.send({ kind: 'draining', incarnations })
  }

  /**
   * Reports to control the rate limits that endpoints have advertised. A control process without an open link receives the
   * report later, when it sends a lease that contradicts it.
   */
  reportLimits (limits: MessageOf<'limits'>['limits']): void {
    for (const link of this.links()) link.send({ kind: 'limits', limits })
  }

  /**
   * Sends a request to one control process. After a failure the next request goes to another one, since the first may be
   * disconnected from the leader.
   */
  private async requestAny<Kind extends 'coldGranted' | 'done'> (
    message: Message, expected: Kind, timeoutMs: number
  ): Promise<MessageOf<Kind>> {
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

  /** Returns why this process cannot serve requests yet; undefined if it can. */
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

  /** Returns the open links to control processes, those of the own region apart from the others. */
  linksByRegion (): { local: Link[], others: Link[] } {
    const ownRegion = this.regions.regionOf(this.services.settings.dataCentre)
    const isLocal = (link: Link) => this.regions.regionOf(link.peer.dataCentre) === ownRegion
    const links = this.links()
    return { local: links.filter(isLocal), others: links.filter((link) => !isLocal(link)) }
  }

  /** The open links to control processes. */
  get openLinks (): readonly Link[] {
    return this.links()
  }

  private links (): Link[] {
    return [...this.dialers.values()].flatMap((dialer) => dialer.link?.isOpen === true ? [dialer.link] : [])
  }

  private dialAll (addresses: readonly string[]): void {
    const { settings, startId, logger, store, spreader, streamBuilds } = this.services
    for (const address of addresses) {
      if (this.dialers.has(address)) continue
      this.dialers.set(address, new Dialer(address, {
        local: { role: 'entry', name: settings.box, startId, dataCentre: settings.dataCentre },
        sharedKey: settings.linkKey,
        logger,
        timing: TIMING,
        maxBackoffMs: MAX_BACKOFF_MS,
        revision: () => store.revision,
        onOpen: (link) => {
          spreader.opened(link)
          streamBuilds.linkOpened()
        },
        onMessage: (link, message) => this.receive(link, message),
        onClose: (link) => {
          spreader.closed(link)
          this.selector.forget(link)
          this.services.quarantine.parts.observer.forgetLink(link)
        }
      }))
    }
  }

  private receive (link: Link, message: Message): void {
    const { spreader } = this.services
    if (spreader.receive(link, message)) return
    if (message.kind === 'workSums' && link === this.primary) this.receiveLoad(link, message)
    if (message.kind === 'readings') this.services.loadExchange.adoptReadings(message)
    if (message.kind === 'suspectParts') this.services.quarantine.parts.observer.receiveSuspects(link, message)
    if (message.kind === 'leases') this.mergeLeases(link, message.leases)
    if (message.kind !== 'controls') return
    this.addresses.recordAnnounced(message.addresses, performance.now())
    this.removeExpiredControls(performance.now())
    this.countEntries(link.address, message.entries)
    this.dialOthers(message.addresses)
  }

  /** Merges leases. A control process that does not know yet that an endpoint is draining, or its limit, receives the report again. */
  private mergeLeases (link: Link, leases: readonly Lease[]): void {
    this.services.view.leases.merge(leases)
    const incarnations = this.services.notices.findDrainingReportedReady(leases)
    if (incarnations.length > 0) link.send({ kind: 'draining', incarnations })
    const limits = this.services.notices.findLimitsToReport(leases)
    if (limits.length > 0) link.send({ kind: 'limits', limits })
  }

  /**
   * Dials the control processes that others have announced. A process that has just started uses only those of its settings until
   * it is ready, since each further link takes processor time while callers wait.
   */
  private dialOthers (addresses: readonly string[]): void {
    const isStarting = this.findNotReadyReason() !== undefined && isStartingUp(performance.now(), this.services.startedAt)
    // Control announces its addresses again within two seconds.
    if (!isStarting) this.dialAll(addresses)
  }

  private countEntries (address: string, entries: number): void {
    const now = performance.now()
    this.entryCount.record(address, entries, now)
    const hasMajority = this.openCount > this.dialers.size / 2
    this.services.view.entryCount = this.entryCount.count(hasMajority, now)
    this.services.view.entriesCountedSince ??= now
    if (hasMajority) this.entryCount.confirm(now)
  }

  /** The number of entries that share the budgets; undefined while this process may not use its share. */
  get sharingEntryCount (): number | undefined {
    return this.entryCount.hasShare(performance.now()) ? this.services.view.entryCount : undefined
  }

  private receiveLoad (link: Link, message: MessageOf<'workSums'>): void {
    this.selector.recordPeers(link, message.peers, performance.now())
    this.services.loadExchange.receive(message)
  }

  /** Repeats the request for the newest revision until a quorum has confirmed it; from then on the links keep this process up to date. */
  private async confirmRevision (): Promise<void> {
    for (const link of this.selector.sortByDistance(this.links())) {
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
    this.timer = setTimeout(() => { void this.confirmRevision() }, this.confirmRetryMs)
    this.confirmRetryMs = Math.min(MAX_CONFIRM_RETRY_MS, CONFIRM_BACKOFF_FACTOR * this.confirmRetryMs)
  }
}
