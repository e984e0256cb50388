import { describe, expect, it } from 'vitest'
import { FairQueue, type QueueItem } from '@gullwall/routing.fair-queue'

let count = 0
function item (tier: number, organisation: string, weight = 1): QueueItem {
  count += 1
  return { id: `r${count}`, group: `t${tier}`, class: `t${tier}`, tier, organisation, weight, arrivedAt: count }
}

function drain (queue: FairQueue<QueueItem>, cost = 1): QueueItem[] {
  const taken: QueueItem[] = []
  for (let next = queue.take(['t0', 't1', 't2']); next !== undefined; next = queue.take(['t0', 't1', 't2'])) {
    queue.charge(next.tier, next.organisation, next.weight, cost)
    taken.push(next)
  }
  return taken
}

describe('the fair queue', () => {
  it('gives the highest tier first, then organisations in turn, then arrival', () => {
    const queue = new FairQueue<QueueItem>()
    const items = [item(1, 'a'), item(1, 'a'), item(1, 'a'), item(1, 'b'), item(0, 'a')]
    items.forEach((next) => queue.push(next))
    expect(drain(queue)).toEqual([items[4], items[0], items[3], items[1], items[2]])
  })

  it('shares by weight', () => {
    const queue = new FairQueue<QueueItem>()
    for (let index = 0; index < 30; index++) {
      queue.push(item(1, 'small'))
      queue.push(item(1, 'large', 2))
    }
    const first = drain(queue).slice(0, 30).filter(({ organisation }) => organisation === 'large')
    expect(first.length).toBeGreaterThanOrEqual(19)
    expect(first.length).toBeLessThanOrEqual(21)
  })

  it('gives no credit for idle time', () => {
    const queue = new FairQueue<QueueItem>()
    for (let index = 0; index < 50; index++) queue.push(item(1, 'busy'))
    drain(queue)
    for (let index = 0; index < 10; index++) queue.push(item(1, 'late'))
    for (let index = 0; index < 10; index++) queue.push(item(1, 'busy'))
    expect(drain(queue).slice(0, 10).filter(({ organisation }) => organisation === 'late').length).toBeLessThanOrEqual(6)
  })

  it('gives up the lowest tier, and what ran in part last', () => {
    const queue = new FairQueue<QueueItem>()
    const resumed = item(2, 'a')
    const fresh = item(2, 'a')
    queue.push(item(1, 'a'))
    queue.push(fresh)
    queue.push(resumed, { atFront: true })
    expect(queue.unstartedSize).toBe(2)
    expect(queue.findVictim()).toEqual({ item: fresh, isResumed: false })
    queue.remove(fresh)
    expect(queue.findVictim()).toEqual({ item: resumed, isResumed: true })
    queue.remove(resumed)
    expect(queue.unstartedSize).toBe(1)
  })
})
