/** A fixture of endpoints with random load, for tests of the choice. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { EndpointIndex, EndpointState, type CandidateScope, type ChoiceRequest, type PromptPart } from '@gullwall/routing.balancer'

export const SERVICE = 'lm'
export const LATER = 10_000
const DATA_CENTRES = 4
const SLOTS = 64

export class EndpointFixture {
  readonly index = new EndpointIndex()
  readonly endpoints: EndpointState[]
  readonly random: () => number

  constructor (readonly size: number, seed: number) {
    const generator = xoroshiro128plus(seed)
    this.random = () => uniformFloat64(generator)
    this.endpoints = Array.from({ length: size }, (_, index) => new EndpointState({
      incarnation: `i-${index}`,
      service: SERVICE,
      address: `10.0.${index >> 8}.${index & 255}:80`,
      dataCentre: `dc${index % DATA_CENTRES}`,
      slots: SLOTS
    }, 300_000, this.index))
    for (const endpoint of this.endpoints) this.index.setUsable(endpoint, true)
  }

  /** Gives each endpoint some load of other entries and some cached prefixes. */
  load (fillShare = 0.9): this {
    for (const endpoint of this.endpoints) {
      endpoint.othersLoad = {
        unread: [{ urgency: 3, tokens: Math.round(20_000 * this.random() ** 3) }],
        running: Math.round(fillShare * SLOTS * this.random()),
        strain: 2 * this.random(),
        sensitive: 0,
        unreachable: 0
      }
      for (let cached = 0; cached < 3; cached += 1) endpoint.prefixCache.record([this.sharedPart()], 0)
    }
    return this
  }

  sharedPart (): PromptPart {
    return { id: `subject-${Math.floor(this.size * this.random())}`, tokens: 6300 }
  }

  request (changes: Partial<ChoiceRequest> = {}): ChoiceRequest {
    return {
      prompt: [this.sharedPart(), { id: `own-${this.random()}`, tokens: 2900 }],
      dataCentre: 'dc0',
      tier: 1,
      isResumed: false,
      needsSlot: true,
      firstEventTargetMs: 1500,
      maxPauseMs: 1000,
      excluded: new Set(),
      copySources: [],
      isAffinityTrusted: false,
      isPauseSensitive: false,
      reserved: new Set(),
      ...changes
    }
  }

  scope (rules: Partial<CandidateScope> = {}): CandidateScope {
    const { index, random } = this
    return {
      pool: index.pool(SERVICE),
      prefixHolders: index.prefixHolders,
      isDataCentreAllowed: () => true,
      isAllowed: () => true,
      random,
      ...rules
    }
  }
}
