/**
 * How many endpoints were last ordered for each service in each data centre. An order is decided here before it is sent, so
 * that a process that takes the duty over goes on from it and sends the same. Nothing outside can be asked for it.
 */
import { type DecideScalingCommand, type ScalingOrder, type ScalingResult } from './commands.ts'

export class ScalingOrders {
  private readonly orders = new Map<string, ScalingOrder>()

  of (service: string, dataCentre: string): ScalingOrder | undefined {
    return this.orders.get(keyOf(service, dataCentre))
  }

  /**
   * Takes an order that was decided with knowledge of the one that holds; any other is late, and is not taken: it would put
   * the number back that a former holder wanted.
   */
  decide ({ service, dataCentre, desired, seen }: DecideScalingCommand): ScalingResult {
    const held = this.of(service, dataCentre)
    if (held !== undefined && held.number !== seen) return { isTaken: false, order: held }
    const order: ScalingOrder = { service, dataCentre, desired, number: (held?.number ?? 0) + 1 }
    this.orders.set(keyOf(service, dataCentre), order)
    return { isTaken: true, order }
  }

  dump (): ScalingOrder[] {
    return [...this.orders.values()]
  }

  restore (orders: readonly ScalingOrder[]): void {
    this.orders.clear()
    for (const order of orders) this.orders.set(keyOf(order.service, order.dataCentre), order)
  }
}

function keyOf (service: string, dataCentre: string): string {
  return JSON.stringify([service, dataCentre])
}
