/** The quarantined parts of prompts that a process knows, and the probes that it lets through. */
import { nameOfHold, nameOfPart, type HeldPart } from './prompt-parts.ts'

/** What is known of a request before it is sent. */
export interface RequestParts {
  /** The ids of its parts; see `findSharedParts`. */
  parts: readonly string[]
  /** The organisation; an empty text if it has none. */
  organisation: string
}

/** A probe that is let through at this box: for the first request that asks for it, until an endpoint has run it. */
interface ProbePermit {
  number: number
  request: object | undefined
  isUsed: boolean
}

export class HeldParts {
  private held: ReadonlyMap<string, HeldPart> = new Map()
  /** When each quarantine began here, by the monotonic clock. */
  private readonly since = new Map<string, number>()
  private readonly permits = new Map<string, ProbePermit>()

  constructor (private readonly box: string, private readonly now: () => number = () => performance.now()) {}

  get size (): number {
    return this.held.size
  }

  /** Replaces the quarantined parts; returns those that are new and those that are gone. */
  replace (held: ReadonlyMap<string, HeldPart>): { added: HeldPart[], removed: HeldPart[] } {
    const added = [...held].filter(([name]) => !this.held.has(name)).map(([, part]) => part)
    const removed = [...this.held].filter(([name]) => !held.has(name)).map(([, part]) => part)
    for (const part of added) this.since.set(nameOfHold(part), this.now())
    for (const part of removed) {
      this.since.delete(nameOfHold(part))
      this.permits.delete(nameOfHold(part))
    }
    this.held = held
    return { added, removed }
  }

  /** Finds the quarantine that keeps a request from the endpoints of a service; undefined if it may be sent there. */
  find (request: object, { parts, organisation }: RequestParts, service: string): HeldPart | undefined {
    if (this.held.size === 0) return undefined
    for (const id of parts) {
      const part = nameOfPart(service, id)
      const held = this.held.get(part) ?? this.held.get(nameOfHold({ part, organisation }))
      if (held !== undefined && !this.isPermitted(held, request)) return held
    }
    return undefined
  }

  /** Records that an endpoint has run a request, or may have: its probes are over. */
  recordRun (request: object): void {
    for (const permit of this.permits.values()) if (permit.request === request) permit.isUsed = true
  }

  /** Returns the quarantined parts that a run which began to write at this time may release. */
  findReleasable (parts: readonly string[], organisation: string, beganAt: number): string[] {
    if (this.held.size === 0) return []
    return parts.filter((part) => [part, nameOfHold({ part, organisation })].some((name) => {
      const since = this.since.get(name)
      return since !== undefined && beganAt >= since
    }))
  }

  private isPermitted (held: HeldPart, request: object): boolean {
    if (held.probe?.box !== this.box) return false
    const name = nameOfHold(held)
    const known = this.permits.get(name)
    const permit = known?.number === held.probe.number ? known : { number: held.probe.number, request: undefined, isUsed: false }
    this.permits.set(name, permit)
    permit.request ??= request
    return permit.request === request && !permit.isUsed
  }
}

/** Describes why a request with a quarantined part is not sent. */
export function describeHeldPart ({ part, crashes }: HeldPart): string {
  return `${crashes} endpoints crashed while requests with part ${part} of their prompts were running there`
}
