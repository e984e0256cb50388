/**
 * The slots of one endpoint: how many attempts may run, who runs, and to whom a
 * free slot is offered.
 */
import { type EndpointLoad, type Tier } from '@gullwall/core.types'
import { type IdSequence } from '@gullwall/core.ids'
import { type BackoffTable, type BackoffPermit } from '@gullwall/routing.backoff'
import { AdaptiveLimit, SampleWindow } from '@gullwall/routing.limits'
import { type RateMeter } from '@gullwall/routing.rates'
import { type ReservationBook } from '@gullwall/routing.reservations'
import { type MessageOf } from '@gullwall/transport.messages'

/** An attempt that asks for a slot or holds one. */
export interface SlotAttempt {
  attemptId: string
  entry: string
  offerId: string | undefined
  tier: Tier
  /** Whether it may be cut off in favour of a higher tier and go on elsewhere. */
  preemptible: boolean
}

export interface EndpointSlotsOptions {
  name: string
  startLimit: number
  maxLimit: number
  book: ReservationBook
  offerIds: IdSequence
  /** Sends an offer; false if the entry's link is gone. */
  sendOffer: (entry: string, offer: MessageOf<'offer'>) => boolean
  /** Told when the load report has changed. */
  onChange: () => void
  /** The endpoints that asked this box to be left alone. */
  backoffs: BackoffTable
  /** What may be sent to the endpoint within a time, by the limit that it names. */
  meter: RateMeter
  /** Told of each attempt that is about to be sent. */
  onSend: () => void
  /** Takes attempts bound early by a baseline, whatever runs. */
  admitWithoutSlot: boolean
}

interface RunningAttempt extends SlotAttempt {
  startedAt: number
  /** Ends the attempt's stream so that it can go on elsewhere. */
  preempt: () => void
  permit: BackoffPermit
}

interface OpenOffer {
  entry: string
  timer: NodeJS.Timeout
}

interface HeldSlot {
  entry: string
  class: string
  tier: Tier
}

/** An offer that is neither taken nor passed on within this time is void, in ms. */
const OFFER_LIFETIME_MS = 300
/** Few enough that an engine which turns slow shows it within a second. */
const GAP_SAMPLES = 24
const GAP_CHECK_EVERY = 8
/** A median that has moved by this factor is reported at once. */
const GAP_MOVED_FACTOR = 1.5

export class EndpointSlots {
  readonly limit: AdaptiveLimit
  reportedInFlight = 0
  /** Whether the endpoint has said that it drains. */
  isDraining = false
  failuresInRow = 0
  private readonly running = new Map<string, RunningAttempt>()
  private readonly offers = new Map<string, OpenOffer>()
  private readonly held: HeldSlot[] = []
  private readonly gaps = new SampleWindow(GAP_SAMPLES)
  private readonly firstTokens = new SampleWindow()
  private gapsSinceCheck = 0
  private reportedGapMs = 0

  constructor (private readonly options: EndpointSlotsOptions) {
    this.limit = new AdaptiveLimit({ initialLimit: options.startLimit, maxLimit: options.maxLimit })
  }

  get inFlight (): number {
    return this.running.size
  }

  get spare (): number {
    const taken = this.running.size + this.offers.size
    return this.isDraining ? 0 : Math.max(0, Math.min(this.limit.limit - taken, this.room - this.offers.size))
  }

  /** How many attempts the endpoint itself takes now: none in a rest that it asked for or at its limit, few right after a rest. */
  private get room (): number {
    const { backoffs, meter, name } = this.options
    return Math.min(backoffs.availablePermits(name), meter.remaining(performance.now()))
  }

  /** Gives the attempt a slot, or false: then it is not run. */
  admit (attempt: SlotAttempt, preempt: () => void): boolean {
    const mayRun = this.takeOffer(attempt) || this.options.admitWithoutSlot || this.mayGoAhead(attempt)
    // What the endpoint has said of itself since the offer counts.
    const { backoffs, meter, name, onSend } = this.options
    const isTaken = mayRun && !this.isDraining && meter.remaining(performance.now()) >= 1
    const permit = isTaken ? backoffs.acquire(name) : undefined
    if (permit === undefined) return false
    onSend()
    this.running.set(attempt.attemptId, { ...attempt, preempt, permit, startedAt: performance.now() })
    if (this.spare === 0) this.limit.recordFull()
    this.options.onChange()
    return true
  }

  /** Frees the slot of an attempt that has ended and offers it on. */
  release (attemptId: string): void {
    const attempt = this.running.get(attemptId)
    if (attempt === undefined) return
    this.running.delete(attemptId)
    attempt.permit.release()
    this.offerFree()
    this.options.onChange()
  }

  /** The endpoint has begun to answer an attempt, and did not turn it away. */
  noteAnswered (attemptId: string): void {
    this.running.get(attemptId)?.permit.recordResponse()
  }

  /** Tells of a change in what the endpoint takes, and offers what it takes now. */
  roomChanged (): void {
    this.offerFree()
    this.options.onChange()
  }

  /** An entry has no more use for an offer. */
  pass (offerId: string): void {
    if (!this.voidOffer(offerId)) return
    this.offerFree()
    this.options.onChange()
  }

  /** Offers free slots for as long as somebody waits for them. */
  offerFree (): void {
    while (this.spare > 0) {
      const held = this.held.shift()
      const pick = held === undefined ? this.options.book.assignSlot(this.options.name) : { ...held, floor: false }
      if (pick === undefined) return
      this.offer(pick.entry, pick.class, pick.tier, pick.floor)
    }
  }

  /** Cuts off the newest stream of the lowest tier below `tier` and holds its slot for the entry that asked. */
  preempt (entry: string, className: string, tier: Tier): boolean {
    if (this.isDraining || this.room === 0) return false
    if (this.spare > 0) {
      this.offerFree()
      return false
    }
    const victim = this.victimBelow(tier)
    if (victim === undefined) return false
    victim.preemptible = false
    this.held.push({ entry, class: className, tier })
    victim.preempt()
    return true
  }

  noteFirstToken (elapsedMs: number): void {
    this.firstTokens.add(elapsedMs)
    this.failuresInRow = 0
  }

  noteGap (gapMs: number, targetMs: number): void {
    this.gaps.add(gapMs)
    this.reportMovedGap()
    if (this.limit.addGap(gapMs, targetMs)) {
      this.offerFree()
      this.options.onChange()
    }
  }

  private reportMovedGap (): void {
    this.gapsSinceCheck += 1
    if (this.gapsSinceCheck < GAP_CHECK_EVERY) return
    this.gapsSinceCheck = 0
    const median = this.gaps.quantile(0.5)
    const isSame = median < this.reportedGapMs * GAP_MOVED_FACTOR && median * GAP_MOVED_FACTOR > this.reportedGapMs
    if (isSame) return
    this.reportedGapMs = median
    this.options.onChange()
  }

  noteFailure (): void {
    this.failuresInRow += 1
    this.options.onChange()
  }

  load (): EndpointLoad {
    return {
      name: this.options.name,
      inFlight: this.running.size,
      limit: this.limit.limit,
      spare: this.spare,
      tokenGapMs: round(this.gaps.quantile(0.5)),
      firstTokenMs: round(this.firstTokens.quantile(0.5)),
      failuresInRow: this.failuresInRow,
      reportedInFlight: this.reportedInFlight,
      preemptableTier: this.lowestPreemptableTier(),
      backOffMs: Math.round(Math.max(this.options.backoffs.remainingMs(this.options.name), this.options.meter.waitMs(performance.now())))
    }
  }

  stop (): void {
    for (const offer of this.offers.values()) clearTimeout(offer.timer)
    this.offers.clear()
  }

  /** Without an offer an attempt gets a slot only if nobody of its tier or higher waits for one. */
  private mayGoAhead (attempt: SlotAttempt): boolean {
    if (this.spare === 0) return false
    const waiting = this.options.book.findHighestTier(this.options.name)
    return waiting === undefined || waiting > attempt.tier
  }

  private takeOffer (attempt: SlotAttempt): boolean {
    if (attempt.offerId === undefined) return false
    return this.offers.get(attempt.offerId)?.entry === attempt.entry && this.voidOffer(attempt.offerId)
  }

  private voidOffer (offerId: string): boolean {
    const offer = this.offers.get(offerId)
    if (offer === undefined) return false
    clearTimeout(offer.timer)
    return this.offers.delete(offerId)
  }

  private offer (entry: string, className: string, tier: Tier, floor: boolean): void {
    const offerId = this.options.offerIds.next()
    const sent = this.options.sendOffer(entry, { kind: 'offer', offerId, endpoint: this.options.name, class: className, tier, floor })
    if (!sent) {
      this.options.book.removeEntry(entry)
      return
    }
    const timer = setTimeout(() => this.pass(offerId), OFFER_LIFETIME_MS)
    this.offers.set(offerId, { entry, timer })
  }

  private victimBelow (tier: Tier): RunningAttempt | undefined {
    let victim: RunningAttempt | undefined
    for (const attempt of this.running.values()) {
      if (!attempt.preemptible || attempt.tier <= tier) continue
      const isLower = victim === undefined || attempt.tier > victim.tier
      const isNewer = attempt.tier === victim?.tier && attempt.startedAt > victim.startedAt
      if (isLower || isNewer) victim = attempt
    }
    return victim
  }

  private lowestPreemptableTier (): number {
    let lowest = -1
    for (const attempt of this.running.values()) {
      if (attempt.preemptible) lowest = Math.max(lowest, attempt.tier)
    }
    return lowest
  }
}

function round (value: number): number {
  const TENTHS = 10
  return Math.round(value * TENTHS) / TENTHS
}
