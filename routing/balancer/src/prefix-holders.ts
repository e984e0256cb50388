/**
 * The endpoints that have a prompt part cached, by part. Without this index, a choice among thousands of endpoints would ask each of them,
 * which would take most of its time.
 */
import { type EndpointState } from './endpoint-state.ts'
import { type PromptPart } from './prefix-cache-model.ts'

/** The most endpoints to check for a part that many have cached. */
const MAX_CHECKS = 64

export interface PrefixHolderQuery {
  prompt: readonly PromptPart[]
  /** The most endpoints to return. */
  limit: number
  isAllowed: (endpoint: EndpointState) => boolean
  /** Returns a number from 0 to 1 that sets where the search begins among the endpoints with the same part. */
  random: () => number
}

export class PrefixHolders {
  /** Most parts are cached by one endpoint only, which needs no list. */
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

  /** Returns endpoints that have a prefix of a prompt cached, those with the longest prefix first. */
  find ({ prompt, limit, isAllowed, random }: PrefixHolderQuery): Set<EndpointState> {
    const found = new Set<EndpointState>()
    for (let depth = prompt.length - 1; depth >= 0 && found.size < limit; depth -= 1) {
      const holders = this.holdersOf(prompt[depth]?.id ?? '')
      const start = Math.floor(random() * holders.length)
      const checks = Math.min(holders.length, MAX_CHECKS)
      for (let check = 0; check < checks && found.size < limit; check += 1) {
        const endpoint = holders[(start + check) % holders.length]
        if (endpoint !== undefined && isAllowed(endpoint)) found.add(endpoint)
      }
    }
    return found
  }

  private holdersOf (part: string): readonly EndpointState[] {
    const known = this.byPart.get(part) ?? []
    return Array.isArray(known) ? known : [known]
  }
}
