/** The entry's metrics by class. */
import { counter, durationHistogram, Gauge, type Registry } from '@gullwall/core.metrics'
import { type RunResult } from '@gullwall/entry.answers'
import { type Dispatcher } from '@gullwall/routing.dispatcher'

const MS_PER_SECOND = 1000

/** Counts of one class since the start of the process. */
export interface ClassCounts {
  requests: number
  answered: number
  inTime: number
  refused: number
  failed: number
}

export class EntryMetrics {
  readonly byClass = new Map<string, ClassCounts>()
  private readonly requests
  private readonly inTime
  private readonly firstToken

  constructor (registry: Registry, dispatcher: Dispatcher) {
    this.requests = counter(registry, 'gullwall_entry_requests_total', 'Requests by class and outcome.', ['class', 'outcome'])
    this.inTime = counter(registry, 'gullwall_entry_requests_in_time_total', 'Requests answered within the targets of their class.', ['class'])
    this.firstToken = durationHistogram(registry, 'gullwall_entry_first_token_seconds', 'Time from arrival to the first token.', ['class'])
    const queued = new Gauge({
      name: 'gullwall_entry_requests_queued',
      help: 'Requests waiting for an endpoint.',
      labelNames: ['class'],
      registers: [registry],
      collect () {
        queued.reset()
        for (const [name, count] of dispatcher.countQueuedByClass()) queued.set({ class: name }, count)
      }
    })
  }

  note (className: string, result: RunResult): void {
    this.requests.inc({ class: className, outcome: result.outcome })
    if (result.inTime) this.inTime.inc({ class: className })
    if (result.firstTokenMs !== undefined) this.firstToken.observe({ class: className }, result.firstTokenMs / MS_PER_SECOND)
    this.count(className, result)
  }

  private count (className: string, result: RunResult): void {
    let counts = this.byClass.get(className)
    if (counts === undefined) {
      counts = { requests: 0, answered: 0, inTime: 0, refused: 0, failed: 0 }
      this.byClass.set(className, counts)
    }
    counts.requests += 1
    if (result.outcome === 'answered') counts.answered += 1
    if (result.outcome === 'refused') counts.refused += 1
    if (result.outcome === 'failed') counts.failed += 1
    if (result.inTime) counts.inTime += 1
  }
}
