/** The slots of one endpoint: the limit of concurrent attempts, the running attempts, and the offers of free slots to entries. */
import { type EndpointLoad, type Tier } from '@gullwall/core.types'
import { type IdSequence } from '@gullwall/core.ids'
import { type BackoffTable, type BackoffPermit } from '@gullwall/routing.backoff'
import { AdaptiveLimit, SampleWindow } from '@gullwall/routing.limits'
import { type RateMeter } from '@gullwall/routing.rates'
import { type ReservationBook } from '@gullwall/routing.reservations'
import { type MessageOf } from '@gullwall/transport.messages'

/** An attempt that requests a slot or has one. */
export interface SlotAttempt {
  attemptId: string
  entry: string
  offerId: string | undefined
  tier: Tier
  /** Whether the attempt may be stopped in favour of a higher tier, since it can be resumed at another endpoint. */
  preemptible: boolean
}

export interface EndpointSlotsOptions {
  name: string
  startLimit: number
  maxLimit: number
  book: ReservationBook
  offerIds: IdSequence
  /** Sends an offer; returns false if the entry has no open link. */
  sendOffer: (entry: string, offer: MessageOf<'offer'>) => boolean
  /** Called when the reported load has changed. */
  onChange: () => void
  /** The backoffs that the endpoints of this box have requested. */
  backoffs: BackoffTable
  /** Counts requests against the rate limit that the endpoint advertises. */
  meter: RateMeter
  /** Called for each attempt before it is sent. */
  onSend: () => void
  /** Admits attempts without a free slot; for baseline policies, which choose an endpoint before a slot is free. */
  admitWithoutSlot: boolean
}

interface RunningAttempt extends SlotAttempt {
  startedAt: number
  /** Stops the attempt, so that it can be resumed at another endpoint. */
  preempt: () => void
  permit: BackoffPermit
}

interface OpenOffer {
  entry: string
  timer: NodeJS.Timeout
}

interface ReservedSlot {
  entry: string
  class: string
  tier: Tier
}

/** An offer that is neither used nor declined within this time expires, in ms. */
const OFFER_TIMEOUT_MS = 300
/** Number of samples in the median: few, so that it shows within a second that an engine has become slow. */
const GAP_SAMPLES = 24
const GAPS_PER_CHECK = 8
/** A median that has changed by this factor is reported at once. */
const GAP_CHANGE_FACTOR = 1.5

export class EndpointSlots {
  readonly limit: AdaptiveLimit
  reportedInFlight = 0
  /** Whether the endpoint has announced that it is draining. */
  isDraining = false
  failuresInRow = 0
  private readonly running = new Map<string, RunningAttempt>()
  private readonly offers = new Map<string, OpenOffer>()
  private readonly reservedSlots: ReservedSlot[] = []
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
    return this.isDraining ? 0 : Math.max(0, Math.min(this.limit.limit - taken, this.endpointCapacity - this.offers.size))
  }

  /** The number of attempts that the endpoint's backoff, slow start and advertised rate limit allow now. */
  private get endpointCapacity (): number {
    const { backoffs, meter, name } = this.options
    return Math.min(backoffs.availablePermits(name), meter.remaining(performance.now()))
  }

  /** Gives the attempt a slot. Returns false if there is none; the attempt must not run then. */
  admit (attempt: SlotAttempt, preempt: () => void): boolean {
    const mayRun = this.claimOffer(attempt) || this.options.admitWithoutSlot || this.canRunWithoutOffer(attempt)
    // The endpoint may have announced draining, a backoff or a limit since the offer.
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

  /** Frees the slot of an attempt that has ended, and offers it again. */
  release (attemptId: string): void {
    const attempt = this.running.get(attemptId)
    if (attempt === undefined) return
    this.running.delete(attemptId)
    attempt.permit.release()
    this.offerFree()
    this.options.onChange()
  }

  /** Records that the endpoint accepted an attempt and has begun to respond. */
  recordResponse (attemptId: string): void {
    this.running.get(attemptId)?.permit.recordResponse()
  }

  /** Offers the slots that are free after a change of the endpoint's capacity, and reports the load. */
  handleCapacityChange (): void {
    this.offerFree()
    this.options.onChange()
  }

  /** Withdraws an offer that its entry does not use, and offers the slot to others. */
  declineOffer (offerId: string): void {
    if (!this.removeOffer(offerId)) return
    this.offerFree()
    this.options.onChange()
  }

  /** Offers the free slots while entries wait for slots. */
  offerFree (): void {
    while (this.spare > 0) {
      const reserved = this.reservedSlots.shift()
      const assignment = reserved === undefined ? this.options.book.assignSlot(this.options.name) : { ...reserved, floor: false }
      if (assignment === undefined) return
      this.offer(assignment.entry, assignment.class, assignment.tier, assignment.floor)
    }
  }

  /**
   * Stops the newest stream of the lowest tier below `tier` and reserves its slot for the requesting entry.
   * @returns false if no stream was stopped
   */
  preempt (entry: string, className: string, tier: Tier): boolean {
    if (this.isDraining || this.endpointCapacity === 0) return false
    if (this.spare > 0) {
      this.offerFree()
      return false
    }
    const victim = this.findPreemptionVictim(tier)
    if (victim === undefined) return false
    victim.preemptible = false
    this.reservedSlots.push({ entry, class: className, tier })
    victim.preempt()
    return true
  }

  recordFirstToken (elapsedMs: number): void {
    this.firstTokens.add(elapsedMs)
    this.failuresInRow = 0
  }

  recordGap (gapMs: number, targetMs: number): void {
    this.gaps.add(gapMs)
    this.reportChangedGap()
    if (this.limit.addGap(gapMs, targetMs)) {
      this.offerFree()
      this.options.onChange()
    }
  }

  private reportChangedGap (): void {
    this.gapsSinceCheck += 1
    if (this.gapsSinceCheck < GAPS_PER_CHECK) return
    this.gapsSinceCheck = 0
    const median = this.gaps.quantile(0.5)
    const isSame = median < this.reportedGapMs * GAP_CHANGE_FACTOR && median * GAP_CHANGE_FACTOR > this.reportedGapMs
    if (isSame) return
    this.reportedGapMs = median
    this.options.onChange()
  }

  recordFailure (): void {
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

  /** Whether an attempt without an offer may take a free slot: only if no entry waits with a request of the same or a higher tier. */
  private canRunWithoutOffer (attempt: SlotAttempt): boolean {
    if (this.spare === 0) return false
    const waiting = this.options.book.findHighestTier(this.options.name)
    return waiting === undefined || waiting > attempt.tier
  }

  private claimOffer (attempt: SlotAttempt): boolean {
    if (attempt.offerId === undefined) return false
    return this.offers.get(attempt.offerId)?.entry === attempt.entry && this.removeOffer(attempt.offerId)
  }

  private removeOffer (offerId: string): boolean {
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
    const timer = setTimeout(() => this.declineOffer(offerId), OFFER_TIMEOUT_MS)
    this.offers.set(offerId, { entry, timer })
  }

  private findPreemptionVictim (tier: Tier): RunningAttempt | undefined {
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
