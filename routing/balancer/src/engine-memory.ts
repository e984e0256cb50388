/**
 * What the requests that run at an engine hold of its memory: their own tokens, read and to come, and the parts that they
 * share with others of their subject, which the engine keeps once. It answers the load at which memory binds before slots:
 * prompts of 9,200 tokens, 6,300 of them shared, fill 267,000 tokens with some 33 requests of 30 subjects. An engine that
 * runs out puts its newest, least urgent request back and reads it anew, which takes 250 ms of all that run there.
 *
 * How many subjects others have there is told by a sketch of 64 bits, which the words of many entries join without counting
 * a subject twice: what an engine will hold is then foreseen to a tenth, where adding up what each entry tells counts a
 * subject as often as entries have it. What two subjects share with each other counts for each of them.
 */
import { type PromptPart } from './prefix-cache-model.ts'
import { hashName } from './rendezvous.ts'

/** Bits of the sketch, in two numbers. */
const WORD_BITS = 32
const SKETCH_BITS = 2 * WORD_BITS
/** From this share of an engine's memory on it is avoided: what others send meanwhile comes on top. */
const CROWDED_SHARE = 0.7
/**
 * Beyond this share a request is not sent: its engine would keep it waiting or put another back. What is foreseen is off by
 * a tenth either way, and the engine that seems to have most room is the one most underestimated: with 1 in place of 0.9,
 * 0.21 of a replayed load still waited at their engines in place of 0.04, and 0.02 fewer of all were in time; 0.85 refuses more.
 */
const FULL_SHARE = 0.9

/** What one request holds at its end. */
export interface RequestSize {
  /** Its own part of the prompt, and the answer that is expected. */
  ownTokens: number
  /** Its deepest part that others share; none if it has only one part. */
  sharedPrefixId: string | undefined
  /** The parts up to and with that one. */
  sharedTokens: number
}

/** What the requests of one entry, or of several, hold at an engine. */
export interface MemoryUse {
  /** Own tokens, added up. */
  tokens: number
  /** The shared parts of each request, added up: each as often as requests share it. */
  sharedTokens: number
  /** Requests that have shared parts. */
  sharing: number
  /** A bit for each of their subjects, by its hash. */
  subjects: readonly [number, number]
}

export const NO_MEMORY_USE: MemoryUse = { tokens: 0, sharedTokens: 0, sharing: 0, subjects: [0, 0] }

/** What a request will hold. */
export function requestSizeOf (prompt: readonly PromptPart[], outputTokens: number): RequestSize {
  const shared = prompt.slice(0, -1)
  return {
    ownTokens: (prompt.at(-1)?.tokens ?? 0) + outputTokens,
    sharedPrefixId: shared.at(-1)?.id,
    sharedTokens: shared.reduce((sum, { tokens }) => sum + tokens, 0)
  }
}

/** Adds what some entries hold to what others do. */
export function addMemoryUse (left: MemoryUse, right: MemoryUse): MemoryUse {
  return {
    tokens: left.tokens + right.tokens,
    sharedTokens: left.sharedTokens + right.sharedTokens,
    sharing: left.sharing + right.sharing,
    subjects: [(left.subjects[0] | right.subjects[0]) >>> 0, (left.subjects[1] | right.subjects[1]) >>> 0]
  }
}

interface HeldSubject {
  tokens: number
  requests: number
}

/** The requests of this entry at one engine. */
export class InFlightMemory {
  private readonly subjects = new Map<string, HeldSubject>()
  private ownTokens = 0
  /** What is made of the subjects, for as long as they stay the same: a choice asks for it at each engine. */
  private summary: Summary | undefined

  add ({ ownTokens, sharedPrefixId, sharedTokens }: RequestSize): void {
    this.ownTokens += ownTokens
    if (sharedPrefixId === undefined) return
    const requests = (this.subjects.get(sharedPrefixId)?.requests ?? 0) + 1
    this.subjects.set(sharedPrefixId, { tokens: sharedTokens, requests })
    this.summary = undefined
  }

  remove ({ ownTokens, sharedPrefixId }: RequestSize): void {
    this.ownTokens -= ownTokens
    const known = sharedPrefixId === undefined ? undefined : this.subjects.get(sharedPrefixId)
    if (sharedPrefixId === undefined || known === undefined) return
    known.requests -= 1
    if (known.requests === 0) this.subjects.delete(sharedPrefixId)
    this.summary = undefined
  }

  /** For the word to others. */
  get use (): MemoryUse {
    const use = { tokens: this.ownTokens, sharedTokens: 0, sharing: 0 }
    for (const { tokens, requests } of this.subjects.values()) {
      use.sharedTokens += requests * tokens
      use.sharing += requests
    }
    return { ...use, subjects: this.summed.sketch }
  }

  /** The tokens that these and the requests of others hold together. */
  tokensWith (others: MemoryUse): number {
    return this.ownTokens + this.summed.tokens + others.tokens + this.sharedOnlyBy(others)
  }

  /**
   * Tokens that a request would add.
   * @param isKept whether the engine is taken to keep its shared parts: with 30 subjects a bit is another's four times in ten
   */
  tokensAddedBy ({ ownTokens, sharedPrefixId, sharedTokens }: RequestSize, others: MemoryUse, isKept: boolean): number {
    const isThere = sharedPrefixId === undefined || this.subjects.has(sharedPrefixId) || (
      isKept && hasBit(others.subjects, bitOf(sharedPrefixId))
    )
    return ownTokens + (isThere ? 0 : sharedTokens)
  }

  /** Shared parts of others' subjects that no request of this entry has. */
  private sharedOnlyBy ({ subjects: [low, high], sharing, sharedTokens }: MemoryUse): number {
    if (sharing === 0) return 0
    const { sketch, count } = this.summed
    const subjects = Math.min(sharing, countOf([sketch[0] | low, sketch[1] | high]) - count)
    return subjects * sharedTokens / sharing
  }

  private get summed (): Summary {
    this.summary ??= summaryOf(this.subjects)
    return this.summary
  }
}

/** Some subjects: their tokens, their bits, and their number as the bits give it. */
interface Summary {
  tokens: number
  sketch: readonly [number, number]
  count: number
}

function summaryOf (subjects: ReadonlyMap<string, HeldSubject>): Summary {
  let tokens = 0
  let low = 0
  let high = 0
  for (const [subject, held] of subjects) {
    tokens += held.tokens
    const bit = bitOf(subject)
    if (bit < WORD_BITS) low |= 1 << bit
    else high |= 1 << (bit - WORD_BITS)
  }
  const sketch: [number, number] = [low >>> 0, high >>> 0]
  return { tokens, sketch, count: countOf(sketch) }
}

/** How much an engine is avoided whose memory fills: 0 up to the share from which it is crowded, 1 where it is full. */
export function memoryUtilisationPenalty (share: number): number {
  return Math.min(1, Math.max(0, (share - CROWDED_SHARE) / (FULL_SHARE - CROWDED_SHARE))) ** 2
}

/** Whether a request fits into the memory of an engine that would then be filled so far. */
export function fitsMemory (share: number): boolean {
  return share <= FULL_SHARE
}

/** Why no engine of some memory can ever run a request; undefined if it can. Only what is certain counts: its prompt and one token. */
export function findMemoryRefusalReason (prompt: readonly PromptPart[], memoryTokens: number): string | undefined {
  const tokens = prompt.reduce((sum, part) => sum + part.tokens, 0) + 1
  if (memoryTokens <= 0 || tokens <= memoryTokens) return undefined
  return `its prompt and a first token take ${tokens} tokens, and the memory of an engine holds ${memoryTokens}`
}

function bitOf (subject: string): number {
  return hashName(subject) % SKETCH_BITS
}

function hasBit ([low, high]: readonly [number, number], bit: number): boolean {
  return ((bit < WORD_BITS ? low >>> bit : high >>> (bit - WORD_BITS)) & 1) === 1
}

/** How many subjects have probably set the bits of a sketch (linear counting). */
function countOf ([low, high]: readonly [number, number]): number {
  const clear = Math.max(1, SKETCH_BITS - bitsIn(low) - bitsIn(high))
  return -SKETCH_BITS * Math.log(clear / SKETCH_BITS)
}

function bitsIn (word: number): number {
  let bits = 0
  for (let left = word >>> 0; left !== 0; left = (left & (left - 1)) >>> 0) bits += 1
  return bits
}
