/**
 * The memory that running requests take at an engine: the unshared tokens of each request, prompt and answer, and each shared prefix
 * once. An engine can run out of memory before it runs out of slots: prompts of 9,200 tokens, 6,300 of them shared, fill 267,000 tokens
 * with some 33 requests of 30 prefixes. It then preempts its newest, least urgent request and prefills it again later, which delays all
 * requests there by 250 ms.
 *
 * Entries report the shared prefixes of their requests as a sketch of 64 bits. The sketches of many entries can be combined without
 * counting a prefix twice, which estimates the memory to within a tenth. Adding up the numbers of the entries would count a prefix
 * once for each entry that uses it. Parts that two shared prefixes have in common count for both of them.
 */
import { type PromptPart } from './prefix-cache-model.ts'
import { hashName } from './rendezvous.ts'

/** The sketch consists of two 32-bit numbers. */
const WORD_BITS = 32
const SKETCH_BITS = 2 * WORD_BITS
/** An engine with a larger share of taken memory is avoided: requests sent by other entries meanwhile are not counted yet. */
const PENALTY_FROM_SHARE = 0.7
/**
 * A request that would take more than this share of an engine's memory in total is not sent there, since the engine would queue it
 * or preempt another. The limit is below 1 because the estimate can be a tenth too low, most of all for the engine that seems to have
 * the most room: without the margin many requests wait at their engines. A larger margin refuses more requests.
 */
const FULL_SHARE = 0.9

/** The memory that one request takes when its answer is complete. */
export interface RequestSize {
  /** The unshared part of its prompt and the expected answer. */
  ownTokens: number
  /** The id of its deepest shared prompt part; undefined if the prompt has only one part. */
  sharedPrefixId: string | undefined
  /** The tokens of all shared parts. */
  sharedTokens: number
}

/** The memory that the requests of one or several entries take at an engine. */
export interface MemoryUse {
  /** The sum of the unshared tokens. */
  tokens: number
  /** The sum of the shared tokens of each request; a prefix counts once for each request that shares it. */
  sharedTokens: number
  /** The number of requests with shared parts. */
  sharing: number
  /** The sketch of their shared prefixes: one bit for each prefix, chosen by its hash. */
  subjects: readonly [number, number]
}

export const NO_MEMORY_USE: MemoryUse = { tokens: 0, sharedTokens: 0, sharing: 0, subjects: [0, 0] }

/** Returns the memory that a request will take. */
export function requestSizeOf (prompt: readonly PromptPart[], outputTokens: number): RequestSize {
  const shared = prompt.slice(0, -1)
  return {
    ownTokens: (prompt.at(-1)?.tokens ?? 0) + outputTokens,
    sharedPrefixId: shared.at(-1)?.id,
    sharedTokens: shared.reduce((sum, { tokens }) => sum + tokens, 0)
  }
}

/** Adds the memory of two groups of entries. */
export function addMemoryUse (left: MemoryUse, right: MemoryUse): MemoryUse {
  return {
    tokens: left.tokens + right.tokens,
    sharedTokens: left.sharedTokens + right.sharedTokens,
    sharing: left.sharing + right.sharing,
    subjects: [(left.subjects[0] | right.subjects[0]) >>> 0, (left.subjects[1] | right.subjects[1]) >>> 0]
  }
}

interface PrefixUse {
  tokens: number
  requests: number
}

/** The memory that the requests of this entry take at one engine. */
export class InFlightMemory {
  private readonly prefixes = new Map<string, PrefixUse>()
  private ownTokens = 0
  /** The summary of the shared prefixes, cached until they change, since each choice needs it for many engines. */
  private summary: Summary | undefined

  add ({ ownTokens, sharedPrefixId, sharedTokens }: RequestSize): void {
    this.ownTokens += ownTokens
    if (sharedPrefixId === undefined) return
    const requests = (this.prefixes.get(sharedPrefixId)?.requests ?? 0) + 1
    this.prefixes.set(sharedPrefixId, { tokens: sharedTokens, requests })
    this.summary = undefined
  }

  remove ({ ownTokens, sharedPrefixId }: RequestSize): void {
    this.ownTokens -= ownTokens
    const known = sharedPrefixId === undefined ? undefined : this.prefixes.get(sharedPrefixId)
    if (sharedPrefixId === undefined || known === undefined) return
    known.requests -= 1
    if (known.requests === 0) this.prefixes.delete(sharedPrefixId)
    this.summary = undefined
  }

  /** The summary that is sent to other entries. */
  get use (): MemoryUse {
    const use = { tokens: this.ownTokens, sharedTokens: 0, sharing: 0 }
    for (const { tokens, requests } of this.prefixes.values()) {
      use.sharedTokens += requests * tokens
      use.sharing += requests
    }
    return { ...use, subjects: this.currentSummary.sketch }
  }

  /** Returns the tokens that these requests and those of other entries take together. */
  tokensWith (others: MemoryUse): number {
    return this.ownTokens + this.currentSummary.tokens + others.tokens + this.sharedOnlyBy(others)
  }

  /**
   * Returns the tokens that a request would add.
   * @param isCached whether its shared parts count as cached at the engine. This check is needed besides the sketch: with 30 prefixes
   * there, a bit of the sketch belongs to another prefix in four of ten cases.
   */
  tokensAddedBy ({ ownTokens, sharedPrefixId, sharedTokens }: RequestSize, others: MemoryUse, isCached: boolean): number {
    const isPresent = sharedPrefixId === undefined || this.prefixes.has(sharedPrefixId) || (
      isCached && hasBit(others.subjects, bitOf(sharedPrefixId))
    )
    return ownTokens + (isPresent ? 0 : sharedTokens)
  }

  /** Estimates the tokens of other entries' shared prefixes that no request of this entry has. */
  private sharedOnlyBy ({ subjects: [low, high], sharing, sharedTokens }: MemoryUse): number {
    if (sharing === 0) return 0
    const { sketch, count } = this.currentSummary
    const prefixCount = Math.min(sharing, countOf([sketch[0] | low, sketch[1] | high]) - count)
    return prefixCount * sharedTokens / sharing
  }

  private get currentSummary (): Summary {
    this.summary ??= summaryOf(this.prefixes)
    return this.summary
  }
}

/** Shared prefixes: their tokens, their sketch, and their number as estimated from the sketch. */
interface Summary {
  tokens: number
  sketch: readonly [number, number]
  count: number
}

function summaryOf (prefixes: ReadonlyMap<string, PrefixUse>): Summary {
  let tokens = 0
  let low = 0
  let high = 0
  for (const [prefixId, prefix] of prefixes) {
    tokens += prefix.tokens
    const bit = bitOf(prefixId)
    if (bit < WORD_BITS) low |= 1 << bit
    else high |= 1 << (bit - WORD_BITS)
  }
  const sketch: [number, number] = [low >>> 0, high >>> 0]
  return { tokens, sketch, count: countOf(sketch) }
}

/** Returns the penalty for memory utilisation: 0 up to the share from which an engine is avoided, 1 if it is full. */
export function memoryUtilisationPenalty (share: number): number {
  return Math.min(1, Math.max(0, (share - PENALTY_FROM_SHARE) / (FULL_SHARE - PENALTY_FROM_SHARE))) ** 2
}

/** Whether a request fits into an engine's memory; `share` is the memory share that it would lead to. */
export function fitsMemory (share: number): boolean {
  return share <= FULL_SHARE
}

/**
 * Returns the reason why no engine with some memory can ever run a request, or undefined if one can. Only the prompt and one token of
 * the answer are certain to be needed.
 */
export function findMemoryRefusalReason (prompt: readonly PromptPart[], memoryTokens: number): string | undefined {
  const tokens = prompt.reduce((sum, part) => sum + part.tokens, 0) + 1
  if (memoryTokens <= 0 || tokens <= memoryTokens) return undefined
  return `its prompt and a first token take ${tokens} tokens, and the memory of an engine holds ${memoryTokens}`
}

function bitOf (prefixId: string): number {
  return hashName(prefixId) % SKETCH_BITS
}

function hasBit ([low, high]: readonly [number, number], bit: number): boolean {
  return ((bit < WORD_BITS ? low >>> bit : high >>> (bit - WORD_BITS)) & 1) === 1
}

/** Estimates the number of shared prefixes from the bits of a sketch, by linear counting. */
function countOf ([low, high]: readonly [number, number]): number {
  const clear = Math.max(1, SKETCH_BITS - bitsIn(low) - bitsIn(high))
  return -SKETCH_BITS * Math.log(clear / SKETCH_BITS)
}

function bitsIn (word: number): number {
  let bits = 0
  for (let remaining = word >>> 0; remaining !== 0; remaining = (remaining & (remaining - 1)) >>> 0) bits += 1
  return bits
}
