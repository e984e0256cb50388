/** The operators' client: speaks to whichever control process answers, and sends again what was lost. */
import { Agent, request, type Dispatcher } from 'undici'
import { GullwallError, messageOf } from '@gullwall/core.error'
import { newStartId } from '@gullwall/core.ids'
import { type RecordChange } from '@gullwall/config.records'
import { type QuorumStatus } from '@gullwall/control.quorum'
import { type ApplyResult, type EvacuationResult, type HistoryEntry } from '@gullwall/control.state'
import { type Member } from '@gullwall/transport.messages'

export interface OperatorClientOptions {
  /** Addresses of control processes, tried in turn. */
  control: readonly string[]
  token: string
  operator: string
}

export interface ApplyOptions {
  expectedRevision?: number
  /** The operation's id; the same id again gives the first answer again. */
  operationId?: string
}

export interface ControlStatus {
  quorum: QuorumStatus
  revision: number
  claims: number
  boxes: Member[]
  /** The data centres that are evacuated as far as that process knows; missing from older ones. */
  evacuated?: string[]
}

export interface ProcessInForce {
  process: string
  revision: number
}

const REQUEST_TIMEOUT_MS = 5000
/** How often an answer that was lost is asked for again, over all addresses. */
const ROUNDS = 3
const RETRY_MS = 300

export class OperatorClient {
  private readonly agent = new Agent({ connect: { timeout: REQUEST_TIMEOUT_MS } })

  constructor (private readonly options: OperatorClientOptions) {}

  /** Has changes accepted or refused. A lost answer is asked for again under the same operation id. */
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

  async inForce (): Promise<ProcessInForce[]> {
    return (await this.send<{ processes: ProcessInForce[] }>('GET', '/v1/in-force')).processes
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

  /** Has nothing more sent to a data centre's endpoints, or has that withdrawn. A lost answer is asked for by the same order. */
  async evacuate (dataCentre: string, isEvacuated: boolean): Promise<EvacuationResult> {
    return await this.send(isEvacuated ? 'PUT' : 'DELETE', `/v1/evacuations/${encodeURIComponent(dataCentre)}`)
  }

  /**
   * Waits until a revision is in force at every process that is linked.
   * @returns the processes that lag at the deadline
   */
  async waitInForce (revision: number, deadlineMs: number): Promise<ProcessInForce[]> {
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
    for (let round = 0; round < ROUNDS; round++) {
      for (const address of this.options.control) {
        try {
          return await this.sendTo<T>(address, method, path, body)
        } catch (error) {
          if (error instanceof GullwallError && error.code === 'ERR_GULLWALL_REFUSED') throw error
          failure = error
        }
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
    }
    throw new GullwallError('ERR_GULLWALL_NO_CONTROL', `no control process took the request: ${messageOf(failure)}`, {
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
      bodyTimeout: REQUEST_TIMEOUT_MS
    })
    const value = await answer.body.json() as { type?: string, message?: string, code?: string }
    const isResult = answer.statusCode === 200 || value.type === 'conflict' || (value.type === 'invalid' && 'mistakes' in value)
    if (isResult) return value as T
    const NOT_TAKEN = 503
    const code = answer.statusCode === NOT_TAKEN ? 'ERR_GULLWALL_NOT_TAKEN' : 'ERR_GULLWALL_REFUSED'
    throw new GullwallError(code, `${value.code ?? answer.statusCode}: ${value.message ?? ''}`, { step: `${method} ${path}`, peer: address })
  }
}
