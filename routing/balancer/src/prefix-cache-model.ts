/**
 * Which parts of prompts an endpoint probably keeps, learnt from what the entries
 * have sent there. The endpoint drops the least recently used first; so does this.
 */

/** One part of a prompt, in order. */
export interface PromptPart {
  id: string
  tokens: number
}

interface KeptPart {
  tokens: number
  /** When it has probably been read there; before that nobody can copy it. */
  readAt: number
}

/** Who is told which parts are kept. */
export interface PartWatcher {
  onCached: (part: string) => void
  onEvicted: (part: string) => void
}

export class PrefixCacheModel {
  private readonly parts = new Map<string, KeptPart>()
  private tokens = 0

  /** @param capacityTokens how many tokens of parts the endpoint is taken to keep */
  constructor (private readonly capacityTokens: number, private readonly watcher?: PartWatcher) {}

  /** Whether a part is kept. */
  has (part: string): boolean {
    return this.parts.has(part)
  }

  /** The tokens at the beginning of a prompt that need not be read again. A part is kept only with all before it. */
  cachedTokens (prompt: readonly PromptPart[]): number {
    return tokensUpTo(prompt, prompt.findLastIndex((part) => this.parts.has(part.id)))
  }

  /** The tokens at the beginning of a prompt that another endpoint can copy from this one. */
  copyableTokens (prompt: readonly PromptPart[], now: number): number {
    return tokensUpTo(prompt, prompt.findLastIndex(({ id }) => now > (this.parts.get(id)?.readAt ?? Infinity)))
  }

  /**
   * Notes a prompt that was sent to the endpoint.
   * @param readAt when it has probably been read there; what was noted before was read by then
   */
  record (prompt: readonly PromptPart[], readAt: number): void {
    for (const { id, tokens } of prompt) {
      const known = this.takeOut(id)
      this.parts.set(id, { tokens, readAt: known?.readAt ?? readAt })
      this.tokens += tokens
      if (known === undefined) this.watcher?.onCached(id)
    }
    for (const id of this.parts.keys()) {
      if (this.tokens <= this.capacityTokens) return
      this.drop(id)
    }
  }

  /** Forgets all parts. */
  clear (): void {
    for (const id of this.parts.keys()) this.drop(id)
  }

  private drop (id: string): void {
    this.takeOut(id)
    this.watcher?.onEvicted(id)
  }

  private takeOut (id: string): KeptPart | undefined {
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
