/**
 * Which parts of prompts an endpoint probably keeps, learnt from what this entry
 * has sent there. The endpoint drops the least recently used first; so does this.
 */

/** One part of a prompt, in order. */
export interface PromptPart {
  id: string
  tokens: number
}

export class PrefixMemory {
  private readonly parts = new Map<string, number>()
  private tokens = 0

  /** @param capacityTokens how many tokens of parts the endpoint is taken to keep */
  constructor (private readonly capacityTokens: number) {}

  /** The tokens at the beginning of a prompt that need not be read again. */
  cachedTokens (prompt: readonly PromptPart[]): number {
    let cached = 0
    for (const part of prompt) {
      if (!this.parts.has(part.id)) break
      cached += part.tokens
    }
    return cached
  }

  /** Notes a prompt that was sent to the endpoint. */
  note (prompt: readonly PromptPart[]): void {
    for (const part of prompt) {
      this.forget(part.id)
      this.parts.set(part.id, part.tokens)
      this.tokens += part.tokens
    }
    for (const id of this.parts.keys()) {
      if (this.tokens <= this.capacityTokens) return
      this.forget(id)
    }
  }

  private forget (id: string): void {
    const tokens = this.parts.get(id)
    if (tokens === undefined) return
    this.parts.delete(id)
    this.tokens -= tokens
  }
}
