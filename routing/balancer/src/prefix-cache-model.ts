/**
 * Models the prefix cache of an endpoint: which prompt parts it probably has cached, from the prompts that entries have sent there.
 * Like the endpoint, the model evicts the least recently used parts first.
 */

/** One of the consecutive parts of a prompt. */
export interface PromptPart {
  id: string
  tokens: number
}

interface CachedPart {
  tokens: number
  /** When its prefill is probably complete; other endpoints can't copy it before. */
  completeAt: number
}

/** Receives changes of the cached parts. */
export interface PartWatcher {
  onCached: (part: string) => void
  onEvicted: (part: string) => void
}

export class PrefixCacheModel {
  private readonly parts = new Map<string, CachedPart>()
  private tokens = 0

  /** @param capacityTokens assumed capacity of the endpoint's prefix cache, in tokens */
  constructor (private readonly capacityTokens: number, private readonly watcher?: PartWatcher) {}

  /** Whether a part is cached. */
  has (part: string): boolean {
    return this.parts.has(part)
  }

  /** Returns the length of the cached prefix of a prompt, in tokens. A part is cached only together with all parts before it. */
  cachedTokens (prompt: readonly PromptPart[]): number {
    return tokensUpTo(prompt, prompt.findLastIndex((part) => this.parts.has(part.id)))
  }

  /** Returns the length of the prefix of a prompt that another endpoint can copy from this one, in tokens. */
  copyableTokens (prompt: readonly PromptPart[], now: number): number {
    return tokensUpTo(prompt, prompt.findLastIndex(({ id }) => now > (this.parts.get(id)?.completeAt ?? Infinity)))
  }

  /**
   * Records a prompt that was sent to the endpoint.
   * @param completeAt time at which its prefill is probably complete; a part that is already cached keeps its earlier time
   */
  record (prompt: readonly PromptPart[], completeAt: number): void {
    for (const { id, tokens } of prompt) {
      const known = this.removePart(id)
      this.parts.set(id, { tokens, completeAt: known?.completeAt ?? completeAt })
      this.tokens += tokens
      if (known === undefined) this.watcher?.onCached(id)
    }
    for (const id of this.parts.keys()) {
      if (this.tokens <= this.capacityTokens) return
      this.evict(id)
    }
  }

  /** Removes all parts. */
  clear (): void {
    for (const id of this.parts.keys()) this.evict(id)
  }

  private evict (id: string): void {
    this.removePart(id)
    this.watcher?.onEvicted(id)
  }

  private removePart (id: string): CachedPart | undefined {
    const part = this.parts.get(id)
    if (part === undefined) return undefined
    this.parts.delete(id)
    this.tokens -= part.tokens
    return part
  }
}

function tokensUpTo (prompt: readonly PromptPart[], last: number): number {
  return prompt.slice(0, last + 1).reduce((sum, part) => sum + part.tokens, 0)
}
