/**
 * Receives the heartbeats of endpoints. A heartbeat with the state `draining` or `gone` is acknowledged only after a majority of
 * control processes has it on its disks. Entries that are linked to any of them then receive the state, even if this process is cut off.
 */
import { gauge, type Registry } from '@gullwall/core.metrics'
import { lifeOf, limitFromWire, type KnownLease } from '@gullwall/control.registry'
import { type Link } from '@gullwall/transport.link'
import { type Lease, type MessageOf } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'
import { type PublishPriority } from './proximity.ts'
import { ThrottledAction } from '@gullwall/core.clock'

/** Interval at which refreshed leases are published together, in ms. */
const REFRESH_INTERVAL_MS = 3000
/**
 * Shortest interval between publications of changed leases to nearby entries, in ms. The first change after a pause is published at
 * once. Changes are batched because all endpoints change within about a second after a total outage.
 */
const NEAR_INTERVAL_MS = 20
/** The same interval for entries that usually receive changes earlier from a control process that is closer to them, in ms. */
const FAR_INTERVAL_MS = 200
/** The same interval for entries of other regions, in ms. They also receive all changes, so that no `draining` or `gone` is lost. */
const FARTHEST_INTERVAL_MS = 1000
/** Number of rounds after which refreshed leases go to all entries. In the other rounds they go to nearby entries only. */
const ROUNDS_PER_FULL_REFRESH = 3

/** Largest number of characters of an invalid report, and of the name of its endpoint, that are logged. */
const MAX_LOGGED_LENGTH = 200

/** Replaces the lease of an unknown endpoint that is reported as gone. */
const UNKNOWN_LEASE = { service: '', address: '', dataCentre: '', slots: 0, sequence: 0 }

export class Registrar {
  private readonly refreshed = new Set<string>()
  private timer: NodeJS.Timeout | undefined
  private rounds = 0
  /** Number of invalid reports since the start. */
  private invalidReports = 0
  private readonly pendingNear = new Set<string>()
  private readonly pendingFar = new Set<string>()
  private readonly pendingFarthest = new Set<string>()
  private readonly publishingNear = new ThrottledAction(() => NEAR_INTERVAL_MS, () => this.publish('first', drain(this.pendingNear)))
  private readonly publishingFar = new ThrottledAction(() => FAR_INTERVAL_MS, () => this.publish('second', drain(this.pendingFar)))
  private readonly publishingFarthest = new ThrottledAction(() => FARTHEST_INTERVAL_MS, () => this.publish('last', drain(this.pendingFarthest)))

  constructor (private readonly services: ControlServices) {}

  start (): void {
    this.timer = setInterval(() => this.publishRefreshes(), REFRESH_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
    this.publishingNear.stop()
    this.publishingFar.stop()
    this.publishingFarthest.stop()
  }

  /**
   * Receives one heartbeat.
   * @throws ERR_GULLWALL_NO_QUORUM if the endpoint is not ready and no majority stores that state in time
   */
  async receiveHeartbeat (lease: Lease): Promise<void> {
    const { leases, leaveRecorder } = this.services
    const [merged] = leases.merge([lease])
    if (merged === 'changed') this.publishToPeers([lease.incarnation])
    else if (merged === 'refreshed') this.refreshed.add(lease.incarnation)
    await leaveRecorder.record(lease)
  }

  /** Receives leases from a peer of an older build, which takes the answer for the confirmation that their states are stored. */
  async confirmToPeer (received: readonly Lease[]): Promise<void> {
    this.services.leases.merge(received)
    await Promise.all(received.map(async (lease) => await this.services.leaveRecorder.record(lease)))
  }

  /** Receives from an entry the endpoints that announced in a response that they are draining. */
  receiveDraining (incarnations: readonly string[]): void {
    const changes = incarnations.filter((incarnation) => this.services.leases.recordDraining(incarnation))
    if (changes.length > 0) this.publishToPeers(changes)
  }

  /** Receives from an entry the limits that endpoints advertised. */
  receiveLimits (limits: MessageOf<'limits'>['limits']): void {
    const { leases } = this.services
    const now = performance.now()
    const changes = limits
      .filter((limit) => leases.recordLimit(limit.incarnation, limitFromWire(limit, now)))
      .map(({ incarnation }) => incarnation)
    if (changes.length === 0) return
    this.publishToPeers(changes)
    this.publishChanges(changes.flatMap((incarnation) => leases.get(incarnation) ?? []))
  }

  /**
   * Marks an endpoint as gone. This includes an unknown endpoint, since its heartbeats may still arrive. Without the start time
   * `born` the latest incarnation of the endpoint is marked.
   */
  async markGone (name: string, born?: number): Promise<void> {
    const { leases } = this.services
    const requested = lifeOf(name, born)
    const known = leases.get(born === undefined ? leases.incarnationOf(name) : requested.incarnation)
    const { service, address, dataCentre, slots, sequence } = known ?? UNKNOWN_LEASE
    const { incarnation, life } = known ?? requested
    await this.receiveHeartbeat({ incarnation, life, service, address, dataCentre, slots, sequence: sequence + 1, state: 'gone', ageMs: 0 })
  }

  /** Counts and logs an invalid report about an endpoint. The report has no other effect. */
  recordInvalidReport (name: string, reason: string): void {
    this.invalidReports += 1
    this.services.logger.sampled('invalid endpoint report', {
      channel: 'endpoint', event: 'refused', endpoint: name.slice(0, MAX_LOGGED_LENGTH), why: `${reason.slice(0, MAX_LOGGED_LENGTH)}; ${this.invalidReports} invalid reports since the start`
    })
  }

  /** Adds the metrics of this process to a registry. */
  addMetrics (registry: Registry): void {
    const invalidReports = gauge(registry, 'gullwall_endpoint_words_refused_total', 'Words about endpoints that could not be understood')
    Object.assign(invalidReports, { collect: () => invalidReports.set(this.invalidReports) })
  }

  /** Publishes changed leases to the linked entries. */
  publishChanges (changed: readonly KnownLease[]): void {
    for (const { incarnation } of changed) {
      this.pendingNear.add(incarnation)
      this.pendingFar.add(incarnation)
      this.pendingFarthest.add(incarnation)
    }
    this.publishingNear.request()
    this.publishingFar.request()
    this.publishingFarthest.request()
  }

  /** Receives leases from a peer. Leases that are only refreshed are published to nearby entries. */
  receiveFromPeer (received: readonly Lease[]): void {
    const { leases } = this.services
    const outcomes = leases.merge(received)
    this.publish('first', received.filter((_lease, index) => outcomes[index] === 'refreshed').map(({ incarnation }) => incarnation))
  }

  /** Publishes leases to the linked entries that have a given turn. */
  private publish (turn: PublishPriority, incarnations: readonly string[]): void {
    this.publishToEntries(incarnations, (link) => this.services.proximity.getPublishPriority(link) === turn)
  }

  private publishToEntries (incarnations: readonly string[], isIncluded: (link: Link) => boolean): void {
    const leases = this.wire(incarnations)
    if (leases.length === 0) return
    const message = { kind: 'leases', leases } as const
    this.services.server.forEachEntry((link) => { if (isIncluded(link)) link.send(message) })
  }

  private wire (incarnations: Iterable<string>): Lease[] {
    const { leases } = this.services
    return this.toWire([...incarnations].flatMap((incarnation) => leases.get(incarnation) ?? []))
  }

  private toWire (leases: readonly KnownLease[]): Lease[] {
    return this.services.leases.toWire(leases.filter((lease) => this.services.catchUp.mayTell(lease)))
  }

  /** Sends all leases on a link that has just opened. */
  sendAllLeases (link: Link): void {
    link.send({ kind: 'leases', leases: this.toWire(this.services.leases.all()) })
  }

  /** Sends all leases to everybody, once they may be told. */
  publishAll (): void {
    const { server, peers } = this.services
    for (const link of peers.links()) this.sendAllLeases(link)
    server.forEachEntry((link) => this.sendAllLeases(link))
  }

  private publishToPeers (incarnations: readonly string[]): void {
    const leases = this.wire(incarnations)
    if (leases.length === 0) return
    for (const link of this.services.peers.links()) link.send({ kind: 'leases', leases })
  }

  private publishRefreshes (): void {
    if (this.refreshed.size === 0) return
    const incarnations = [...this.refreshed]
    this.refreshed.clear()
    this.rounds += 1
    this.publishToPeers(incarnations)
    const isFullRefresh = this.rounds % ROUNDS_PER_FULL_REFRESH === 0
    this.publishToEntries(incarnations, (link) => isFullRefresh || this.services.proximity.getPublishPriority(link) === 'first')
  }
}

/** Empties a set and returns its former members. */
function drain (set: Set<string>): string[] {
  const members = [...set]
  set.clear()
  return members
}
