/**
 * Operators' orders to evacuate data centres. An order that is taken is on the disks of a majority. One that was overtaken by
 * an order of the other kind is given again while its caller waits, since it is wanted now; without a caller, or after the
 * time that callers wait, it is a late one and changes nothing.
 */
import { GullwallError } from '@gullwall/core.error'
import { counter, gauge, type Registry } from '@gullwall/core.metrics'
import { evacuatedIn, evacuationOf, evacuationsIn, type EvacuationResult, type StoredEvacuation } from '@gullwall/control.state'
import { waitUntilApplied } from './wait-until-applied.ts'
import { type ControlServices } from './index.ts'
import { type OrderCaller } from './order-caller.ts'

/** Callers ask another process after a second without an answer; an order that is older is carried out there. In ms. */
const ORDER_VALID_MS = 950

export interface EvacuationOrder {
  dataCentre: string
  /** False withdraws an evacuation. */
  isEvacuated: boolean
  caller: OrderCaller
  /** When the order was read, by the monotonic clock. */
  receivedAt?: number
}

/** An order under way, with the epoch of its data centre when it was last known to be wanted. */
interface PendingOrder extends Required<EvacuationOrder> {
  seen: number
}

type Outcome = 'accepted' | 'ignored' | 'refused' | 'failed'

export class Evacuations {
  private readonly counts = new Map<Outcome, number>()

  constructor (private readonly services: ControlServices) {}

  /**
   * Carries out an order; gives what holds once it is durable.
   * @throws ERR_GULLWALL_NO_SUCH_DATA_CENTRE
   * @throws ERR_GULLWALL_CALLER_LEFT, ERR_GULLWALL_OVERTAKEN if it came too late
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_OUTCOME_UNKNOWN; the same order may be given again
   */
  async order (given: EvacuationOrder): Promise<EvacuationResult> {
    const { dataCentre, receivedAt = performance.now() } = given
    // Read before anything is waited for: what is taken from now on came after this order.
    const seen = evacuationOf(this.services.store.records, dataCentre).epoch
    const order: PendingOrder = { ...given, receivedAt, seen }
    try {
      this.assertKnown(order)
      if (await order.caller.wasDisconnectedBefore()) throw this.late(order, 'ERR_GULLWALL_CALLER_LEFT', 'its caller has left')
      return await this.carryOut(order)
    } catch (error) {
      this.noteFailure(order, error)
      throw error
    }
  }

  /**
   * What holds for each data centre that was ever evacuated.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER if that can't be told for sure
   */
  async read (): Promise<Map<string, StoredEvacuation>> {
    const { proposer, store } = this.services
    const { revision } = await proposer.confirmRevision()
    await waitUntilApplied(store, revision, 'read evacuations')
    return evacuationsIn(store.records)
  }

  /** The data centres that are evacuated as far as this process knows. */
  get evacuated (): string[] {
    return evacuatedIn(this.services.store.records)
  }

  /** Adds the figures of this process to a registry. */
  addMetrics (registry: Registry): void {
    const orders = counter(registry, 'gullwall_evacuation_orders_total', 'Orders to evacuate a data centre or to withdraw that, by outcome', ['outcome'])
    const collectOrders = () => {
      orders.reset()
      for (const [outcome, count] of this.counts) orders.inc({ outcome }, count)
    }
    Object.assign(orders, { collect: collectOrders })
    const evacuated = gauge(registry, 'gullwall_evacuated_data_centres', 'Data centres that are evacuated as far as this process knows')
    Object.assign(evacuated, { collect: () => evacuated.set(this.evacuated.length) })
  }

  private async carryOut (order: PendingOrder): Promise<EvacuationResult> {
    const { dataCentre, isEvacuated, caller, receivedAt } = order
    for (;;) {
      if (performance.now() - receivedAt > ORDER_VALID_MS) throw this.late(order, 'ERR_GULLWALL_OVERTAKEN', 'its caller no longer waits for it')
      const result = await this.services.proposer.evacuate({ type: 'evacuate', dataCentre, isEvacuated, seen: order.seen })
      if (result.isTaken) {
        this.count('accepted')
        this.log(order, 'accepted', result.epoch, isEvacuated ? 'evacuated' : 'withdrawn')
        return result
      }
      if (caller.isDisconnected) throw this.late(order, 'ERR_GULLWALL_OVERTAKEN', `epoch ${order.seen} was overtaken by ${result.epoch}`)
      order.seen = result.epoch
    }
  }

  /** Where settings name the data centres, an order for another one is a mistake, unless an endpoint or an evacuation is there. */
  private assertKnown ({ dataCentre }: EvacuationOrder): void {
    const { settings, leases, store } = this.services
    const { regions, dataCentre: own } = settings
    if (regions === undefined || regions[dataCentre] !== undefined || dataCentre === own) return
    if (evacuationOf(store.records, dataCentre).epoch > 0) return
    if (leases.all().some((lease) => lease.dataCentre === dataCentre)) return
    throw new GullwallError('ERR_GULLWALL_NO_SUCH_DATA_CENTRE', `no data centre ${JSON.stringify(dataCentre)} is known`, {
      step: 'evacuate', hint: `known are ${[...new Set([...Object.keys(regions), own])].sort().join(', ')}`
    })
  }

  private late ({ dataCentre, isEvacuated }: EvacuationOrder, code: GullwallError['code'], why: string): GullwallError {
    const what = isEvacuated ? 'the evacuation' : 'the withdrawal'
    return new GullwallError(code, `${what} of ${dataCentre} came too late: ${why}`, { step: 'evacuate', hint: 'give the order again if it is still wanted' })
  }

  private noteFailure (order: PendingOrder, error: unknown): void {
    const outcome = outcomeOf(error)
    this.count(outcome)
    // A name that is not known may be any text; it is not in need of a line as long as itself.
    const event = outcome === 'failed' ? 'refused' : outcome
    this.log(order, event, order.seen, error instanceof Error ? error.message.slice(0, MAX_WHY) : String(error))
  }

  private count (outcome: Outcome): void {
    this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1)
  }

  private log ({ dataCentre }: EvacuationOrder, event: 'accepted' | 'ignored' | 'refused', epoch: number, why: string): void {
    this.services.logger.info({ channel: 'evacuation', event, dataCentre: dataCentre.slice(0, MAX_WHY), epoch, why })
  }
}

const MAX_WHY = 300
const LATE_CODES: ReadonlySet<string> = new Set(['ERR_GULLWALL_CALLER_LEFT', 'ERR_GULLWALL_OVERTAKEN'])

function outcomeOf (error: unknown): Outcome {
  const code = error instanceof GullwallError ? error.code : ''
  if (LATE_CODES.has(code)) return 'ignored'
  return code === 'ERR_GULLWALL_NO_SUCH_DATA_CENTRE' ? 'refused' : 'failed'
}
