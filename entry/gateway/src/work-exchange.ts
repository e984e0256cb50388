/** Tells the other entries what this one has under way, and keeps what they tell. */
import { type WorkSummary } from '@gullwall/transport.messages'
import { type GatewayServices } from './index.ts'

/** Changes are told together, at most so often, in ms. */
const TELL_MS = 60
/** What has not changed is told again after this time, in ms. */
const REPEAT_MS = 1000
/** What another entry told counts for so long, in ms. */
const VALID_MS = 2500

interface OtherEntry {
  works: readonly WorkSummary[]
  heardAt: number
}

export class WorkExchange {
  private readonly others = new Map<string, OtherEntry>()
  private timer: NodeJS.Timeout | undefined
  private toldText = ''
  private toldAt = -Infinity

  constructor (private readonly services: GatewayServices) {}

  start (): void {
    this.timer = setInterval(() => this.tick(), TELL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Takes what another entry has under way. */
  receive (entry: string, works: readonly WorkSummary[]): void {
    if (entry === this.services.settings.box) return
    this.others.set(entry, { works, heardAt: performance.now() })
    this.count()
  }

  private tick (): void {
    const now = performance.now()
    this.forgetSilent(now)
    const works = this.ownWorks()
    const text = JSON.stringify(works)
    const isDue = text !== this.toldText || (works.length > 0 && now - this.toldAt > REPEAT_MS)
    if (!isDue) return
    if (!this.services.controlLinks.sendToOne({ kind: 'work', entry: this.services.settings.box, works })) return
    this.toldText = text
    this.toldAt = now
  }

  private ownWorks (): WorkSummary[] {
    return this.services.view.all().filter((endpoint) => endpoint.inFlight > 0).map((endpoint) => ({
      incarnation: endpoint.description.incarnation,
      unreadTokens: Math.round(endpoint.ownBacklogTokens),
      running: endpoint.inFlight
    }))
  }

  private forgetSilent (now: number): void {
    let hasForgotten = false
    for (const [entry, { heardAt }] of this.others) {
      if (now - heardAt <= VALID_MS) continue
      this.others.delete(entry)
      hasForgotten = true
    }
    if (hasForgotten) this.count()
  }

  /** Adds up what the others have under way at each endpoint. */
  private count (): void {
    for (const endpoint of this.services.view.all()) endpoint.others = { unreadTokens: 0, running: 0 }
    for (const { works } of this.others.values()) {
      for (const { incarnation, unreadTokens, running } of works) {
        const endpoint = this.services.view.get(incarnation)
        if (endpoint === undefined) continue
        endpoint.others.unreadTokens += unreadTokens
        endpoint.others.running += running
      }
    }
  }
}
