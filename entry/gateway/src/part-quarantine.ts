/** Parts of prompts under which endpoints crash: refuses requests with quarantined ones, and observes which parts run well. */
import { heldPartsIn } from '@gullwall/control.state'
import { PartObserver } from '@gullwall/endpoint.crashes'
import { type EndpointState } from '@gullwall/routing.balancer'
import { describeHeldPart, HeldParts, nameOfHold, nameOfPart, type HeldPart, type PartAtCrash } from '@gullwall/routing.quarantine'
import { type Call } from './call.ts'
import { type EndpointRule } from './eligibility.ts'
import { type GatewayServices } from './index.ts'

const LOCAL_REASON = 'endpoints crashed while requests with one part of its prompt were running there, and control is unreachable'

export class PartQuarantine {
  private readonly held: HeldParts
  readonly observer: PartObserver

  /** @param isIsolated whether control is unreachable, so that this process decides alone */
  constructor (private readonly services: Pick<GatewayServices, 'settings' | 'store' | 'logger' | 'controlLinks'>, private readonly isIsolated: () => boolean) {
    this.held = new HeldParts(services.settings.box)
    this.observer = new PartObserver({
      links: () => services.controlLinks.openLinks,
      findReleasable: (parts, organisation, beganAt) => this.held.findReleasable(parts, organisation, beganAt)
    })
  }

  stop (): void {
    this.observer.stop()
  }

  /** Number of quarantines of parts that this process knows. */
  get size (): number {
    return this.held.size
  }

  /** Returns why a request may not be sent to any service of its route; undefined if it may be sent to one. */
  findRefusalReason (call: Call): string | undefined {
    if (this.held.size === 0 && !this.isIsolated()) return undefined
    const reasons = call.route.split.filter(({ weight }) => weight > 0).map(({ service }) => this.findServiceReason(call, service))
    return reasons.includes(undefined) ? undefined : reasons[0]
  }

  /** Returns the quarantined part for which a request may not be sent to any service of its route, by name; undefined if there is none. */
  findHeldPart (call: Call): string | undefined {
    const request = { parts: call.sharedParts(), organisation: organisationOf(call) }
    return call.route.split.map(({ service }) => this.held.find(call, request, service)?.part).find((part) => part !== undefined)
  }

  /** Excludes the endpoints of services at which a part of the prompt is quarantined. */
  readonly rule: EndpointRule = ({ description: { service } }, call) => this.findServiceReason(call, service)

  /** Records that an endpoint runs a request well, which began to write there at the given time. */
  recordRun ({ description: { service } }: EndpointState, call: Call, beganAt: number): void {
    const parts = call.sharedParts()
    if (parts.length > 0) this.observer.recordRun(parts.map((id) => nameOfPart(service, id)), organisationOf(call), beganAt)
  }

  /** Records that an endpoint has run a request, or may have: the probes that let it through are over. */
  recordAttempt (call: Call): void {
    if (this.held.size > 0) this.held.recordRun(call)
  }

  /** Returns the parts that may have crashed an endpoint while it was running a request. */
  partsAtCrash ({ description: { service } }: EndpointState, call: Call): PartAtCrash[] {
    return call.sharedParts().map((id, position) => [nameOfPart(service, id), organisationOf(call), position])
  }

  /** Updates the quarantined parts from the stored records, and logs the changes; returns whether there are new ones. */
  update (): boolean {
    const { added, removed } = this.held.replace(heldPartsIn(this.services.store.records))
    for (const held of added) this.log('held', held, 'quarantine began: requests with the part are not sent')
    for (const held of removed) this.log('released', held, 'quarantine ended')
    return added.length > 0
  }

  private findServiceReason (call: Call, service: string): string | undefined {
    const organisation = organisationOf(call)
    const held = this.held.find(call, { parts: call.sharedParts(), organisation }, service)
    if (held !== undefined) return describeHeldPart(held)
    if (!this.isIsolated()) return undefined
    const names = this.observer.ownHeldNames
    if (names.size === 0) return undefined
    const parts = call.sharedParts().map((id) => nameOfPart(service, id))
    return parts.some((part) => names.has(part) || names.has(nameOfHold({ part, organisation }))) ? LOCAL_REASON : undefined
  }

  private log (event: 'held' | 'released', { part, organisation }: HeldPart, why: string): void {
    this.services.logger.info({ channel: 'quarantine', event, fingerprint: '', part, organisation, why })
  }
}

/** Returns the organisation of a request; an empty text on a public route. */
function organisationOf ({ organisation }: Call): string {
  return organisation?.name ?? ''
}
