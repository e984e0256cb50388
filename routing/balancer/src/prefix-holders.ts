/**
 * Who is taken to keep which part of a prompt. Without it each choice would ask every endpoint, which is what a choice among
 * 3,000 spends most of its time on.
 */
import { type EndpointState } from './endpoint-state.ts'
import { type PromptPart } from './prefix-cache-model.ts'

/** A part that very many keep is looked for at no more than so many of them. */
const MAX_LOOKS = 64

export interface PrefixHolderQuery {
  prompt: readonly PromptPart[]
  /** How many are wanted. */
  limit: number
  accepts: (endpoint: EndpointState) => boolean
  /** From 0 to 1; where the search begins among those that keep the same part. */
  random: () => number
}

export class PrefixHolders {
  /** Most parts are kept at one place only: those need no list. */
  private readonly byPart = new Map<string, EndpointState | EndpointState[]>()

  add (endpoint: EndpointState, part: string): void {
    const known = this.byPart.get(part)
    if (known === undefined) this.byPart.set(part, endpoint)
    else if (Array.isArray(known)) known.push(endpoint)
    else this.byPart.set(part, [known, endpoint])
  }

  remove (endpoint: EndpointState, part: string): void {
    const known = this.byPart.get(part)
    if (known === endpoint) this.byPart.delete(part)
    if (!Array.isArray(known)) return
    const at = known.indexOf(endpoint)
    const last = known.pop()
    if (at >= 0 && at < known.length && last !== undefined) known[at] = last
    if (known.length === 0) this.byPart.delete(part)
  }

  /** Some that keep most of a prompt: those of its deepest part first. */
  find ({ prompt, limit, accepts, random }: PrefixHolderQuery): Set<EndpointState> {
    const found = new Set<EndpointState>()
    for (let depth = prompt.length - 1; depth >= 0 && found.size < limit; depth -= 1) {
      const keepers = this.keepersOf(prompt[depth]?.id ?? '')
      const start = Math.floor(random() * keepers.length)
      const looks = Math.min(keepers.length, MAX_LOOKS)
      for (let look = 0; look < looks && found.size < limit; look += 1) {
        const endpoint = keepers[(start + look) % keepers.length]
        if (endpoint !== undefined && accepts(endpoint)) found.add(endpoint)
      }
    }
    return found
  }

  private keepersOf (part: string): readonly EndpointState[] {
    const known = this.byPart.get(part) ?? []
    return Array.isArray(known) ? known : [known]
  }
}
