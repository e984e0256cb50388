/**
 * Takes the heartbeats of endpoints. A heartbeat that says an endpoint leaves is
 * acknowledged only once a majority of control processes knows it: whatever
 * entry is linked to any of them is then told, also when this process is cut off.
 */
import { GullwallError } from '@gullwall/core.error'
import { gauge, type Registry } from '@gullwall/core.metrics'
import { lifeOf, limitFromWire, type KnownLease } from '@gullwall/control.registry'
import { type Link } from '@gullwall/transport.link'
import { type Lease, type MessageOf } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'
import { type PublishPriority } from './proximity.ts'
import { ThrottledAction } from './throttled-action.ts'

/** Refreshed leases are passed on together, so often, in ms. */
const REFRESH_MS = 3000
/**
 * Changed leases go to the entries near here together, so often at most, in ms; the first after a pause goes at once. After
 * everything was dark each endpoint is news within a second or so, and each control process tells each of them.
 */
const CHANGES_NEAR_MS = 20
/** The same for the entries that hear from a process nearer to them unless that is cut off. */
const CHANGES_FAR_MS = 200
/** And for those of other regions. What has changed is still told there: a word that an endpoint leaves must not get lost. */
const CHANGES_FARTHEST_MS = 1000
/** Other entries hear of refreshes from a process near them; every so many rounds from here too. */
const ROUNDS_TO_ALL = 3
/** An endpoint gives up on an answer after a second. */
const CONFIRM_TIMEOUT_MS = 800

/** Characters of a word that could not be understood which are logged, and of its endpoint's name. */
const MAX_LOGGED = 200

/** Stands for what this process does not know of an endpoint that it is told is gone. */
const UNKNOWN_LEASE = { service: '', address: '', dataCentre: '', slots: 0, sequence: 0 }

export class Registrar {
  private readonly refreshed = new Set<string>()
  private timer: NodeJS.Timeout | undefined
  private rounds = 0
  /** Words that could not be understood, since the start. */
  private refusals = 0
  private readonly untoldNear = new Set<string>()
  private readonly untoldFar = new Set<string>()
  private readonly untoldFarthest = new Set<string>()
  private readonly tellingNear = new ThrottledAction(() => CHANGES_NEAR_MS, () => this.tell('first', drain(this.untoldNear)))
  private readonly tellingFar = new ThrottledAction(() => CHANGES_FAR_MS, () => this.tell('second', drain(this.untoldFar)))
  private readonly tellingFarthest = new ThrottledAction(() => CHANGES_FARTHEST_MS, () => this.tell('last', drain(this.untoldFarthest)))

  constructor (private readonly services: ControlServices) {}

  start (): void {
    this.timer = setInterval(() => this.passRefreshes(), REFRESH_MS)
  }

  stop (): void {
    clearInterval(this.timer)
    this.tellingNear.stop()
    this.tellingFar.stop()
    this.tellingFarthest.stop()
  }

  /**
   * Takes one heartbeat.
   * @throws ERR_GULLWALL_NO_QUORUM if the endpoint leaves and no majority could be told in time
   */
  async receiveHeartbeat (lease: Lease): Promise<void> {
    const { leases } = this.services
    const [merged] = leases.merge([lease])
    if (lease.state !== 'ready') {
      await this.confirmLeaving(lease.incarnation)
    } else if (merged === 'changed') {
      this.tellPeers([lease.incarnation])
    } else if (merged === 'refreshed') {
      this.refreshed.add(lease.incarnation)
    }
  }

  /** Takes an entry's word of endpoints that said in an answer that they drain. */
  receiveDraining (incarnations: readonly string[]): void {
    const news = incarnations.filter((incarnation) => this.services.leases.recordDraining(incarnation))
    if (news.length > 0) this.tellPeers(news)
  }

  /** Takes an entry's word of what endpoints have said of their limits. */
  receiveLimits (words: MessageOf<'limits'>['limits']): void {
    const { leases } = this.services
    const now = performance.now()
    const news = words.filter(
      (word) => leases.recordLimit(word.incarnation, limitFromWire(word, now))
    ).map(({ incarnation }) => incarnation)
    if (news.length === 0) return
    this.tellPeers(news)
    this.publishChanges(news.flatMap((incarnation) => leases.get(incarnation) ?? []))
  }

  /**
   * Takes word that an endpoint is gone, also of one that is not known here: its heartbeats may still arrive. Without a time
   * of birth its latest life is meant.
   */
  async markGone (name: string, born?: number): Promise<void> {
    const { leases } = this.services
    const meant = lifeOf(name, born)
    const known = leases.get(born === undefined ? leases.incarnationOf(name) : meant.incarnation)
    const { service, address, dataCentre, slots, sequence } = known ?? UNKNOWN_LEASE
    const { incarnation, life } = known ?? meant
    await this.receiveHeartbeat({ incarnation, life, service, address, dataCentre, slots, sequence: sequence + 1, state: 'gone', ageMs: 0 })
  }

  /** Notes a word about an endpoint that could not be understood, from whoever wrote it; it changes nothing. */
  recordInvalidReport (name: string, why: string): void {
    this.refusals += 1
    this.services.logger.sampled('word refused', {
      channel: 'endpoint', event: 'refused', endpoint: name.slice(0, MAX_LOGGED), why: `${why.slice(0, MAX_LOGGED)}; ${this.refusals} since the start`
    })
  }

  /** Adds the figures of this process to a registry. */
  addMetrics (registry: Registry): void {
    const refusals = gauge(registry, 'gullwall_endpoint_words_refused_total', 'Words about endpoints that could not be understood')
    Object.assign(refusals, { collect: () => refusals.set(this.refusals) })
  }

  /** Passes changes on to the entries linked here. */
  publishChanges (changed: readonly KnownLease[]): void {
    for (const { incarnation } of changed) {
      this.untoldNear.add(incarnation)
      this.untoldFar.add(incarnation)
      this.untoldFarthest.add(incarnation)
    }
    this.tellingNear.request()
    this.tellingFar.request()
    this.tellingFarthest.request()
  }

  /** Takes leases that a peer has told; those that are merely refreshed go on to the entries near here. */
  receiveFromPeer (told: readonly Lease[]): void {
    const { leases } = this.services
    const outcomes = leases.merge(told)
    this.tell('first', told.filter((_lease, index) => outcomes[index] === 'refreshed').map(({ incarnation }) => incarnation))
  }

  /** Tells the entries whose turn it is. */
  private tell (turn: PublishPriority, incarnations: readonly string[]): void {
    this.tellEntries(incarnations, (link) => this.services.proximity.getPublishPriority(link) === turn)
  }

  private tellEntries (incarnations: readonly string[], isMeant: (link: Link) => boolean): void {
    if (incarnations.length === 0) return
    const message = { kind: 'leases', leases: this.wire(incarnations) } as const
    this.services.server.forEachEntry((link) => { if (isMeant(link)) link.send(message) })
  }

  private wire (incarnations: Iterable<string>): Lease[] {
    const { leases } = this.services
    return leases.toWire([...incarnations].flatMap((incarnation) => leases.get(incarnation) ?? []))
  }

  /** Tells all leases on a link that has just opened. */
  sendAllLeases (link: Link): void {
    link.send({ kind: 'leases', leases: this.services.leases.toWire() })
  }

  private async confirmLeaving (incarnation: string): Promise<void> {
    const { quorum, leases, peers } = this.services
    const lease = leases.get(incarnation)
    const message = { kind: 'leases', leases: leases.toWire(lease === undefined ? [] : [lease]) } as const
    const { voters } = quorum.membership
    const others = Object.entries(voters).filter(([name]) => name !== quorum.name)
    const needed = Math.floor(Object.keys(voters).length / 2) + 1
    const self = voters[quorum.name] === undefined ? 0 : 1
    const told = others.map(async ([, member]) => await peers.call(member.address, message, 'done', CONFIRM_TIMEOUT_MS))
    if (Object.keys(voters).length > 0 && await atLeast(told, needed - self)) return
    throw new GullwallError('ERR_GULLWALL_NO_QUORUM', 'a majority of control processes could not be told in time', { step: 'leave', peer: incarnation })
  }

  private tellPeers (incarnations: readonly string[]): void {
    const message = { kind: 'leases', leases: this.wire(incarnations) } as const
    for (const link of this.services.peers.links()) link.send(message)
  }

  private passRefreshes (): void {
    if (this.refreshed.size === 0) return
    const incarnations = [...this.refreshed]
    this.refreshed.clear()
    this.rounds += 1
    this.tellPeers(incarnations)
    const isForAll = this.rounds % ROUNDS_TO_ALL === 0
    this.tellEntries(incarnations, (link) => isForAll || this.services.proximity.getPublishPriority(link) === 'first')
  }
}

/** Empties a set and gives what was in it. */
function drain (set: Set<string>): string[] {
  const members = [...set]
  set.clear()
  return members
}

/** True as soon as enough of the calls have succeeded, false once they no longer can. */
async function atLeast (calls: Array<Promise<unknown>>, needed: number): Promise<boolean> {
  if (needed <= 0) return true
  return await new Promise((resolve) => {
    let succeeded = 0
    let open = calls.length
    const settle = (ok: boolean) => {
      open -= 1
      if (ok) succeeded += 1
      if (succeeded >= needed) resolve(true)
      else if (succeeded + open < needed) resolve(false)
    }
    if (open < needed) resolve(false)
    for (const call of calls) call.then(() => settle(true), () => settle(false))
  })
}
