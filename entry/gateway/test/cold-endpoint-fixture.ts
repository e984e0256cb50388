/** One gateway's part in sparing cold endpoints, before a control process whose answers a test gives. */
import { type KnownLease } from '@gullwall/control.registry'
import { silentLogger } from '@gullwall/core.logger'
import { EndpointState } from '@gullwall/routing.balancer'
import { type Grant, type GrantRequest } from '@gullwall/transport.messages'
import { type Call } from '../src/call.ts'
import { ColdEndpoints } from '../src/cold-endpoints.ts'
import { GrantPool } from '../src/grant-pool.ts'

/** What the services of the tests say: 21 requests within a second by the deployment's overrun of 1.5 and slack of 5. */
export const COLD_LIMIT = { perSecond: 11, startMs: 6000 }
export const MAX_REQUESTS_PER_SECOND = 21

/** One box before a control process whose answers a test gives. */
export class Box {
  readonly endpoints: EndpointState[] = []
  readonly grantRequests: GrantRequest[][] = []
  wakeCount = 0
  entries = 1
  answerGrants: (wishes: GrantRequest[]) => Promise<Grant[]> = async () => []
  readonly coldEndpoints: ColdEndpoints
  private readonly leases = new Map<string, KnownLease>()
  private calls = 0

  constructor (name = 'b1') {
    this.coldEndpoints = new ColdEndpoints({
      box: name,
      logger: silentLogger(),
      leaseOf: (incarnation) => this.leases.get(incarnation),
      coldLimitOf: (service) => service === 'plain' ? undefined : COLD_LIMIT,
      endpoints: () => this.endpoints,
      entryCount: () => this.entries,
      requestGrants: async (wishes) => {
        this.grantRequests.push(wishes)
        return await this.answerGrants(wishes)
      },
      wake: () => { this.wakeCount += 1 },
      grantPool: new GrantPool()
    })
  }

  /** Hears of an endpoint, for the first time or again. */
  receiveLease (incarnation: string, coldMs: number | undefined, { dataCentre = 'dc1', service = 'lm', ageMs = 0 } = {}): EndpointState {
    const lease: KnownLease = {
      incarnation, service, dataCentre, coldMs, address: `${incarnation}:80`, slots: 64, state: 'ready', sequence: 1, receivedAt: performance.now() - ageMs
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

  findExclusionReason (endpoint: EndpointState, call = this.call()): string | undefined {
    return this.coldEndpoints.rule(endpoint, call)
  }

  eligible (call = this.call()): EndpointState[] {
    return this.endpoints.filter((endpoint) => this.findExclusionReason(endpoint, call) === undefined)
  }
}
