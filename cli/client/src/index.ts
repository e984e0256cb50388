/** The operators' client. It tries the control processes in turn, and sends a request again if its response was lost. */
import { Agent, request, type Dispatcher } from 'undici'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { newStartId } from '@gullwall/core.ids'
import { type RecordChange } from '@gullwall/config.records'
import { type QuorumStatus } from '@gullwall/control.quorum'
import { type ApplyResult, type EvacuationResult, type HistoryEntry } from '@gullwall/control.state'
import { type HeldPart } from '@gullwall/routing.quarantine'
import { type Member } from '@gullwall/transport.messages'

export interface OperatorClientOptions {
  /** Addresses of control processes, in the order in which they are tried. */
  control: readonly string[]
  token: string
  operator: string
}

export interface ApplyOptions {
  expectedRevision?: number
  /** The id of the operation. A second request with the same id returns the result of the first. */
  operationId?: string
}

export interface ControlStatus {
  quorum: QuorumStatus
  revision: number
  claims: number
  boxes: Member[]
  /** The evacuated data centres that the process knows; undefined from processes of earlier versions. */
  evacuated?: string[]
}

export interface ProcessRevision {
  process: string
  revision: number
}

/** What is not sent to endpoints because endpoints crashed under it. */
export interface QuarantineList {
  /** Parts of prompts, each with the name by which it is released. */
  parts: Array<HeldPart & { name: string }>
  /** Fingerprints of whole requests. */
  requests: string[]
}

const REQUEST_TIMEOUT_MS = 5000
/** Time for a whole response, in ms. Its timeouts for the next bytes alone would never end one without end. */
const RESPONSE_TIMEOUT_MS = 20_000
/** Maximum size of a response. All records of a deployment with tens of thousands of organisations are smaller. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024
/** Time for which a request that no control process accepts is sent again, in ms: a lost leader is replaced within it. */
const RETRY_MS = 3000
const ROUND_DELAY_MS = 300

export class OperatorClient {
  private readonly agent = new Agent({ connect: { timeout: REQUEST_TIMEOUT_MS }, maxResponseSize: MAX_RESPONSE_BYTES })

  constructor (private readonly options: OperatorClientOptions) {}

  /** Sends changes, which are accepted or refused as a whole. After a lost response they are sent again with the same operation id. */
  async apply (changes: RecordChange[], options: ApplyOptions = {}): Promise<ApplyResult> {
    return await this.send<ApplyResult>('POST', '/v1/operations', {
      operationId: options.operationId ?? newStartId(),
      expectedRevision: options.expectedRevision ?? null,
      operator: this.options.operator,
      changes
    })
  }

  async records (): Promise<{ revision: number, records: Record<string, string> }> {
    return await this.send('GET', '/v1/records')
  }

  async history (since = 0): Promise<HistoryEntry[]> {
    return (await this.send<{ history: HistoryEntry[] }>('GET', `/v1/history?since=${since}`)).history
  }

  async inForce (): Promise<ProcessRevision[]> {
    return (await this.send<{ processes: ProcessRevision[] }>('GET', '/v1/in-force')).processes
  }

  async status (): Promise<ControlStatus> {
    return await this.send('GET', '/v1/status')
  }

  async addMember (name: string, address: string): Promise<QuorumStatus> {
    return await this.send('POST', '/v1/control/members', { name, address })
  }

  async removeMember (name: string): Promise<QuorumStatus> {
    return await this.send('DELETE', `/v1/control/members/${name}`)
  }

  /** Evacuates a data centre, or withdraws the evacuation. After a lost response the same order is sent again. */
  async evacuate (dataCentre: string, isEvacuated: boolean): Promise<EvacuationResult> {
    return await this.send(isEvacuated ? 'PUT' : 'DELETE', `/v1/evacuations/${encodeURIComponent(dataCentre)}`)
  }

  async quarantine (): Promise<QuarantineList> {
    return await this.send('GET', '/v1/quarantine')
  }

  /** Ends the quarantine of a part, by the name of its hold, or of a request, by its fingerprint. */
  async releaseFromQuarantine (name: string): Promise<void> {
    await this.send('DELETE', `/v1/quarantine/${encodeURIComponent(name)}?operator=${encodeURIComponent(this.options.operator)}`)
  }

  /**
   * Waits until a revision is in force at all linked processes.
   * @returns the processes with an older revision at the deadline
   */
  async waitUntilInForce (revision: number, deadlineMs: number): Promise<ProcessRevision[]> {
    const end = performance.now() + deadlineMs
    const POLL_MS = 50
    for (;;) {
      const lagging = (await this.inForce()).filter((known) => known.revision < revision)
      if (lagging.length === 0 || performance.now() > end) return lagging
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
  }

  async close (): Promise<void> {
    await this.agent.close()
  }

  private async send<T> (method: Dispatcher.HttpMethod, path: string, body?: object): Promise<T> {
    let failure: unknown
    const endsAt = performance.now() + RETRY_MS
    do {
      for (const address of this.options.control) {
        try {
          return await this.sendTo<T>(address, method, path, body)
        } catch (error) {
          if (error instanceof GullwallError && error.code === 'ERR_GULLWALL_REFUSED') throw error
          failure = error
        }
      }
      await new Promise((resolve) => setTimeout(resolve, ROUND_DELAY_MS))
    } while (performance.now() < endsAt)
    throw new GullwallError('ERR_GULLWALL_NO_CONTROL', `no control process accepted the request: ${messageOf(failure)}`, {
      step: `${method} ${path}`, hint: 'check the addresses given with --control and that a majority of them is up', cause: failure
    })
  }

  private async sendTo<T> (address: string, method: Dispatcher.HttpMethod, path: string, body?: object): Promise<T> {
    const answer = await request(`http://${address}${path}`, {
      method,
      dispatcher: this.agent,
      headers: { authorization: `Bearer ${this.options.token}`, 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS)
    })
    const value = await answer.body.json() as { type?: string, message?: string, code?: string }
    const isResult = answer.statusCode === 200 || value.type === 'conflict' || (value.type === 'invalid' && 'mistakes' in value)
    if (isResult) return value as T
    const NOT_TAKEN = 503
    const code = answer.statusCode === NOT_TAKEN ? 'ERR_GULLWALL_NOT_TAKEN' : 'ERR_GULLWALL_REFUSED'
    throw new GullwallError(code, `${value.code ?? answer.statusCode}: ${value.message ?? ''}`, { step: `${method} ${path}`, peer: address })
  }
}
