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
  /** When it was first sent there. */
  since: number
}

/** Until it has been read, a part that was sent can't be copied from there. In ms. */
const READ_WITHIN_MS = 600

export class PrefixMemory {
  private readonly parts = new Map<string, KeptPart>()
  private tokens = 0

  /** @param capacityTokens how many tokens of parts the endpoint is taken to keep */
  constructor (private readonly capacityTokens: number) {}

  /** The tokens at the beginning of a prompt that need not be read again. A part is kept only with all before it. */
  cachedTokens (prompt: readonly PromptPart[]): number {
    return tokensUpTo(prompt, prompt.findLastIndex((part) => this.parts.has(part.id)))
  }

  /** The tokens at the beginning of a prompt that another endpoint can copy from this one. */
  copyableTokens (prompt: readonly PromptPart[], now: number): number {
    return tokensUpTo(prompt, prompt.findLastIndex(({ id }) => now - (this.parts.get(id)?.since ?? Infinity) > READ_WITHIN_MS))
  }

  /** Notes a prompt that was sent to the endpoint. */
  note (prompt: readonly PromptPart[], now: number): void {
    for (const { id, tokens } of prompt) {
      const since = this.parts.get(id)?.since ?? now
      this.forget(id)
      this.parts.set(id, { tokens, since })
      this.tokens += tokens
    }
    for (const id of this.parts.keys()) {
      if (this.tokens <= this.capacityTokens) return
      this.forget(id)
    }
  }

  private forget (id: string): void {
    const part = this.parts.get(id)
    if (part === undefined) return
    this.parts.delete(id)
    this.tokens -= part.tokens
  }
}

function tokensUpTo (prompt: readonly PromptPart[], last: number): number {
  return prompt.slice(0, last + 1).reduce((sum, part) => sum + part.tokens, 0)
}
