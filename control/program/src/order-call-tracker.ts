/**
 * Tracks the calls that one process has made for its scaling orders. A call without a response may be executed seconds later, after
 * newer calls with the same token, and would then restore an older number. The newest order is therefore sent again after such a
 * call can no longer be executed.
 */
import { type ScalingOrder } from '@gullwall/control.state'

/** A call without a response is executed within this time or not at all, in ms. The time includes a margin over a few seconds. */
const MAX_CALL_DELAY_MS = 20_000

/** A call without a response. */
interface UncertainCall {
  desired: number
  /** Time after which the call can no longer be executed. */
  until: number
}

interface CallState {
  delivered: { token: number, order: number } | undefined
  uncertainCalls: UncertainCall[]
}

export class OrderCallTracker {
  private readonly calls = new Map<string, CallState>()

  /**
   * Whether an order must be sent: it was not delivered under this token, or an older call may have been executed later. A new lease
   * holder also sends an order that the previous holder delivered, since the higher token invalidates the pending calls of that holder.
   */
  isCallDue (key: string, { number, desired }: ScalingOrder, token: number, now: number): boolean {
    const { delivered, uncertainCalls } = this.stateOf(key)
    if (delivered?.token !== token || delivered.order !== number) return true
    return uncertainCalls.some((call) => call.desired !== desired && call.until <= now)
  }

  recordDelivered (key: string, { number }: ScalingOrder, token: number, now: number): void {
    const uncertainCalls = this.stateOf(key).uncertainCalls.filter(({ until }) => until > now)
    this.calls.set(key, { delivered: { token, order: number }, uncertainCalls })
  }

  recordFailed (key: string, { desired }: ScalingOrder, now: number): void {
    const { delivered, uncertainCalls } = this.stateOf(key)
    const others = uncertainCalls.filter((call) => call.desired !== desired)
    this.calls.set(key, { delivered, uncertainCalls: [...others, { desired, until: now + MAX_CALL_DELAY_MS }] })
  }

  forget (key: string): void {
    this.calls.delete(key)
  }

  private stateOf (key: string): CallState {
    return this.calls.get(key) ?? { delivered: undefined, uncertainCalls: [] }
  }
}
