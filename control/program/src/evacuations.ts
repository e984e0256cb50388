/**
 * Executes operators' orders to evacuate data centres. An accepted order is on the disks of a majority. If another order changed
 * the data centre in the meantime, the order is proposed again with the new epoch, since its caller still waits for it. An order is
 * rejected as late and changes nothing if its caller disconnected before the order was read, if the caller is disconnected when another
 * order supersedes this one, or if the order is older than callers wait.
 */
import { GullwallError } from '@gullwall/core.error'
import { counter, gauge, type Registry } from '@gullwall/core.metrics'
import { evacuatedIn, evacuationOf, evacuationsIn, type EvacuationResult, type StoredEvacuation } from '@gullwall/control.state'
import { waitUntilApplied } from './wait-until-applied.ts'
import { type ControlServices } from './index.ts'
import { type OrderCaller } from './order-caller.ts'

/** Largest age of an order, in ms. After a second without a response a caller sends the order to another process, which executes it. */
const ORDER_VALID_MS = 950

export interface EvacuationOrder {
  dataCentre: string
  /** False withdraws the evacuation. */
  isEvacuated: boolean
  caller: OrderCaller
  /** Time at which the order was read, by the monotonic clock. */
  receivedAt?: number
}

/** An order in progress. */
interface PendingOrder extends Required<EvacuationOrder> {
  /** The epoch of the data centre that the order is based on. */
  seen: number
}

type Outcome = 'accepted' | 'ignored' | 'refused' | 'failed'

export class Evacuations {
  private readonly counts = new Map<Outcome, number>()

  constructor (private readonly services: ControlServices) {}

  /**
   * Executes an order. Returns the resulting state of the data centre once the order is durable.
   * @throws ERR_GULLWALL_NO_SUCH_DATA_CENTRE
   * @throws ERR_GULLWALL_CALLER_LEFT, ERR_GULLWALL_OVERTAKEN if the order is late
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER, ERR_GULLWALL_OUTCOME_UNKNOWN; the caller may repeat the order
   */
  async order (given: EvacuationOrder): Promise<EvacuationResult> {
    const { dataCentre, receivedAt = performance.now() } = given
    // Must be read before the first await: changes that are accepted later came after this order.
    const seen = evacuationOf(this.services.store.records, dataCentre).epoch
    const order: PendingOrder = { ...given, receivedAt, seen }
    try {
      this.assertKnown(order)
      if (await order.caller.detectDisconnect()) throw this.createLateError(order, 'ERR_GULLWALL_CALLER_LEFT', 'its caller is disconnected')
      return await this.execute(order)
    } catch (error) {
      this.recordFailure(order, error)
      throw error
    }
  }

  /**
   * Returns the state of each data centre that was ever evacuated.
   * @throws ERR_GULLWALL_NO_QUORUM, ERR_GULLWALL_NOT_LEADER if the newest state can't be determined
   */
  async read (): Promise<Map<string, StoredEvacuation>> {
    const { proposer, store } = this.services
    const { revision } = await proposer.confirmRevision()
    await waitUntilApplied(store, revision, 'read evacuations')
    return evacuationsIn(store.records)
  }

  /** The data centres that are evacuated according to the state of this process. */
  get evacuated (): string[] {
    return evacuatedIn(this.services.store.records)
  }

  /** Adds the metrics of this process to a registry. */
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

  private async execute (order: PendingOrder): Promise<EvacuationResult> {
    const { dataCentre, isEvacuated, caller, receivedAt } = order
    for (;;) {
      if (performance.now() - receivedAt > ORDER_VALID_MS) throw this.createLateError(order, 'ERR_GULLWALL_OVERTAKEN', 'its caller no longer waits for the response')
      const result = await this.services.proposer.evacuate({ type: 'evacuate', dataCentre, isEvacuated, seen: order.seen })
      if (result.isTaken) {
        this.count('accepted')
        this.log(order, 'accepted', result.epoch, isEvacuated ? 'evacuated' : 'withdrawn')
        return result
      }
      if (caller.isDisconnected) throw this.createLateError(order, 'ERR_GULLWALL_OVERTAKEN', `epoch ${order.seen} was superseded by epoch ${result.epoch}`)
      order.seen = result.epoch
    }
  }

  /** Rejects an unknown data centre if the settings name the data centres. One with an endpoint or an evacuation counts as known. */
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

  private createLateError ({ dataCentre, isEvacuated }: EvacuationOrder, code: GullwallError['code'], reason: string): GullwallError {
    const action = isEvacuated ? 'the evacuation' : 'the withdrawal'
    return new GullwallError(code, `${action} of ${dataCentre} came too late: ${reason}`, { step: 'evacuate', hint: 'repeat the order if it is still wanted' })
  }

  private recordFailure (order: PendingOrder, error: unknown): void {
    const outcome = classifyOutcome(error)
    this.count(outcome)
    // An unknown data centre name may be any text, so its length in the log line is limited.
    const event = outcome === 'failed' ? 'refused' : outcome
    this.log(order, event, order.seen, error instanceof Error ? error.message.slice(0, MAX_LOGGED_LENGTH) : String(error))
  }

  private count (outcome: Outcome): void {
    this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1)
  }

  private log ({ dataCentre }: EvacuationOrder, event: 'accepted' | 'ignored' | 'refused', epoch: number, why: string): void {
    this.services.logger.info({ channel: 'evacuation', event, dataCentre: dataCentre.slice(0, MAX_LOGGED_LENGTH), epoch, why })
  }
}

const MAX_LOGGED_LENGTH = 300
const LATE_CODES: ReadonlySet<string> = new Set(['ERR_GULLWALL_CALLER_LEFT', 'ERR_GULLWALL_OVERTAKEN'])

function classifyOutcome (error: unknown): Outcome {
  const code = error instanceof GullwallError ? error.code : ''
  if (LATE_CODES.has(code)) return 'ignored'
  return code === 'ERR_GULLWALL_NO_SUCH_DATA_CENTRE' ? 'refused' : 'failed'
}
