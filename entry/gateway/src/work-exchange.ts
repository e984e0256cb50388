/** Tells the other entries what this one has under way, and keeps what they tell. */
import { MIN_COPY_TOKENS, sharedTokens, type EndpointState, type PromptPart } from '@gullwall/routing.balancer'
import { type Holding, type MessageOf, type WorkSummary } from '@gullwall/transport.messages'
import { type GatewayServices } from './index.ts'

/** How often this entry looks whether there is something to tell, in ms. */
const LOOK_MS = 60
/** A change of the tokens to be read by more than this is told at the next look. */
const TELL_TOKENS = 2500
/** A prompt with more tokens to read is told at once, so that others do not send theirs to the same endpoint meanwhile. */
const TELL_AT_ONCE_TOKENS = 1500
/** Though not more often than this, in ms. */
const AT_ONCE_SPACING_MS = 20
/** Smaller changes are told together, at most so often, in ms. */
const TELL_MS = 250
/** With more entries than this, each tells the less often the more there are: what all of them hear stays bounded. */
const ENTRIES_AT_FULL_PACE = 8
/** What has not changed is told again after this time, in ms. */
const REPEAT_MS = 1500
/** What another entry told counts for so long, in ms. */
const VALID_MS = 2500

interface OtherEntry {
  works: readonly WorkSummary[]
  heardAt: number
}

export class WorkExchange {
  private readonly others = new Map<string, OtherEntry>()
  private timer: NodeJS.Timeout | undefined
  private toldText = '[]'
  private toldTokens = new Map<string, number>()
  private toldAt = -Infinity
  private untoldHoldings: Holding[] = []

  constructor (private readonly services: GatewayServices) {}

  start (): void {
    this.timer = setInterval(() => this.tick(), LOOK_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Takes what another entry has under way and what it has sent. */
  receive ({ entry, works, holdings }: MessageOf<'work'>): void {
    if (entry === this.services.settings.box) return
    const now = performance.now()
    this.others.set(entry, { works, heardAt: now })
    for (const { incarnation, parts } of holdings) this.services.view.get(incarnation)?.prefixes.note(parts, now)
    this.count()
  }

  /** Notes that an endpoint is about to get a prompt; the other entries are told of long parts that it has not had yet. */
  noteSending ({ prefixes, description }: EndpointState, prompt: readonly PromptPart[]): void {
    const shared = sharedTokens(prompt)
    if (shared < MIN_COPY_TOKENS || prefixes.cachedTokens(prompt) >= shared) return
    this.untoldHoldings.push({ incarnation: description.incarnation, parts: prompt.slice(0, -1).map(({ id, tokens }) => ({ id, tokens })) })
  }

  /** Notes that a prompt was sent. */
  noteSent (unreadTokens: number): void {
    if (unreadTokens > TELL_AT_ONCE_TOKENS) setImmediate(() => this.tellAfter(AT_ONCE_SPACING_MS))
  }

  private tick (): void {
    const now = performance.now()
    this.forgetSilent(now)
    for (const endpoint of this.services.view.all()) endpoint.sampleReading(now)
    this.tellAfter(0)
  }

  /** Tells what has changed, unless something was told less than this time ago. */
  private tellAfter (spacingMs: number): void {
    const now = performance.now()
    if (now - this.toldAt < spacingMs) return
    const works = this.ownWorks()
    const text = JSON.stringify(works)
    const sinceTold = now - this.toldAt
    const slowdown = Math.max(1, this.services.view.entries / ENTRIES_AT_FULL_PACE)
    if (sinceTold < (slowdown - 1) * LOOK_MS) return
    const isChanged = text !== this.toldText && (sinceTold > TELL_MS * slowdown || this.changedTokens(works) > TELL_TOKENS)
    const isRepeat = works.length > 0 && sinceTold > REPEAT_MS
    if (!isChanged && !isRepeat && this.untoldHoldings.length === 0) return
    const message = { kind: 'work', entry: this.services.settings.box, works, holdings: this.untoldHoldings } as const
    if (!this.services.controlLinks.sendToOne(message)) return
    this.untoldHoldings = []
    this.toldText = text
    this.toldTokens = tokensOf(works)
    this.toldAt = now
  }

  private ownWorks (): WorkSummary[] {
    return this.services.view.all().filter((endpoint) => endpoint.inFlight > 0).map((endpoint) => ({
      incarnation: endpoint.description.incarnation,
      unread: endpoint.ownUnread(),
      running: endpoint.inFlight,
      strain: Math.round(100 * endpoint.ownStrain) / 100
    }))
  }

  /** The largest change, at any endpoint, since this entry last told. */
  private changedTokens (works: readonly WorkSummary[]): number {
    const now = tokensOf(works)
    const incarnations = new Set([...now.keys(), ...this.toldTokens.keys()])
    return Math.max(0, ...[...incarnations].map((incarnation) => (
      Math.abs((now.get(incarnation) ?? 0) - (this.toldTokens.get(incarnation) ?? 0))
    )))
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
    for (const endpoint of this.services.view.all()) endpoint.others = { unread: [], running: 0, strain: 0 }
    for (const { works } of this.others.values()) {
      for (const { incarnation, unread, running, strain } of works) {
        const endpoint = this.services.view.get(incarnation)
        if (endpoint === undefined) continue
        endpoint.others.unread.push(...unread)
        endpoint.others.running += running
        endpoint.others.strain += strain
      }
    }
    this.services.view.wake()
  }
}

/** Prompt tokens still to be read, by endpoint. */
function tokensOf (works: readonly WorkSummary[]): Map<string, number> {
  return new Map(works.map(({ incarnation, unread }) => [incarnation, unread.reduce((sum, { tokens }) => sum + tokens, 0)]))
}
