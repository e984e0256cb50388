/**
 * What is known of the calls that one process has made for its orders. A call that got no answer may be carried out seconds
 * later, after newer ones of the same token, and would put its older number back: the newer one is then sent once more.
 */
import { type ScalingOrder } from '@gullwall/control.state'

/** A call without an answer is carried out within this time or not at all, in ms: "seconds later", with room. */
const LATE_MS = 20_000

interface Doubt {
  desired: number
  until: number
}

interface Calls {
  delivered: { token: number, order: number } | undefined
  doubts: Doubt[]
}

export class OrderCallTracker {
  private readonly calls = new Map<string, Calls>()

  /**
   * Whether an order is to be sent: it was not answered under this token, or an older one may have been carried out since. Also
   * a new holder sends what a former one had answered, as its higher token ends the calls of that one that are still under way.
   */
  isCallDue (key: string, { number, desired }: ScalingOrder, token: number, now: number): boolean {
    const { delivered, doubts } = this.of(key)
    if (delivered?.token !== token || delivered.order !== number) return true
    return doubts.some((doubt) => doubt.desired !== desired && doubt.until <= now)
  }

  recordDelivered (key: string, { number }: ScalingOrder, token: number, now: number): void {
    const doubts = this.of(key).doubts.filter(({ until }) => until > now)
    this.calls.set(key, { delivered: { token, order: number }, doubts })
  }

  recordFailed (key: string, { desired }: ScalingOrder, now: number): void {
    const { delivered, doubts } = this.of(key)
    const others = doubts.filter((doubt) => doubt.desired !== desired)
    this.calls.set(key, { delivered, doubts: [...others, { desired, until: now + LATE_MS }] })
  }

  forget (key: string): void {
    this.calls.delete(key)
  }

  private of (key: string): Calls {
    return this.calls.get(key) ?? { delivered: undefined, doubts: [] }
  }
}
