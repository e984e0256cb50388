/** A gateway with cold endpoints, and a control process whose answers the test sets. */
import { type HeldLease } from '@gullwall/control.registry'
import { silentLogger } from '@gullwall/core.logger'
import { EndpointState } from '@gullwall/routing.balancer'
import { type Grant, type GrantWish } from '@gullwall/transport.messages'
import { type Call } from '../src/call.ts'
import { ColdEngines } from '../src/cold-engines.ts'
import { GrantPurse } from '../src/grant-purse.ts'

/** The limit of the services; with an overrun of 1.5 and a slack of 5 a cold endpoint receives at most 21 requests a second. */
export const COLD_LIMIT = { perSecond: 11, startMs: 6000 }
export const BOUND = 21

/** One box with a gateway. */
export class Box {
  readonly endpoints: EndpointState[] = []
  readonly asked: GrantWish[][] = []
  woken = 0
  entries = 1
  answer: (wishes: GrantWish[]) => Promise<Grant[]> = async () => []
  readonly engines: ColdEngines
  private readonly leases = new Map<string, HeldLease>()
  private calls = 0

  constructor (name = 'b1') {
    this.engines = new ColdEngines({
      box: name,
      logger: silentLogger(),
      leaseOf: (incarnation) => this.leases.get(incarnation),
      limitOf: (service) => service === 'plain' ? undefined : COLD_LIMIT,
      endpoints: () => this.endpoints,
      entries: () => this.entries,
      ask: async (wishes) => {
        this.asked.push(wishes)
        return await this.answer(wishes)
      },
      wake: () => { this.woken += 1 },
      purse: new GrantPurse()
    })
  }

  /** Receives the lease of an endpoint, for the first time or again. */
  hear (incarnation: string, coldMs: number | undefined, { dataCentre = 'dc1', service = 'lm', ageMs = 0 } = {}): EndpointState {
    const lease: HeldLease = {
      incarnation, service, dataCentre, coldMs, address: `${incarnation}:80`, slots: 64, state: 'ready', sequence: 1, heardAt: performance.now() - ageMs
    }
    this.leases.set(incarnation, lease)
    const known = this.endpoints.find(({ description }) => description.incarnation === incarnation)
    if (known !== undefined) return known
    const endpoint = new EndpointState(lease)
    this.endpoints.push(endpoint)
    return endpoint
  }

  call (): Call {
    this.calls += 1
    return { requestId: `r-${this.calls}` } as unknown as Call
  }

  whyNot (endpoint: EndpointState, call = this.call()): string | undefined {
    return this.engines.rule(endpoint, call)
  }

  eligible (call = this.call()): EndpointState[] {
    return this.endpoints.filter((endpoint) => this.whyNot(endpoint, call) === undefined)
  }
}
