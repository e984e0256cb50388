/**
 * Carries out what the endpoints of this box say of themselves in their answers: one that drains is offered to nobody until it
 * has started again, and one that wants to be left alone is asked for nothing for so long, not even for a report.
 */
import { type AnyHead } from '@gullwall/endpoint.dialect'
import { describeNotices, readNotices } from '@gullwall/endpoint.notices'
import { BackoffTable, recordOfTurn } from '@gullwall/routing.backoff'
import { type SidecarServices } from './index.ts'

export class EngineNotices {
  readonly backoffs: BackoffTable
  /** Times asked for that could not be understood, since the start. */
  unreadable = 0
  /** Since when endpoints drain, by the monotonic clock. */
  private readonly drainingSince = new Map<string, number>()

  constructor (private readonly services: Pick<SidecarServices, 'logger' | 'endpoints' | 'entryLinks'>) {
    this.backoffs = new BackoffTable({
      // The endpoints are made with this object in hand, and are there once anything is asked of them.
      onRoom: () => { for (const { slots } of this.services.endpoints.values()) slots.roomChanged() },
      onTurn: (endpoint, turn) => {
        services.logger.info(recordOfTurn(endpoint, turn))
        this.services.endpoints.get(endpoint)?.slots.roomChanged()
      }
    })
  }

  stop (): void {
    this.backoffs.stop()
  }

  /** Takes the head of any answer of an endpoint. */
  take (endpoint: string, { status, headers, sentAt }: AnyHead): void {
    const notices = readNotices({ status, headers })
    const said = describeNotices(notices)
    if (said !== undefined) {
      this.services.logger.sampled('notice', { channel: 'endpoint', event: 'notice', endpoint, why: `answered ${status}, ${said}` })
    }
    if (notices.unreadable !== undefined) this.unreadable += 1
    this.backoffs.note(endpoint, notices.backOffMs ?? 0)
    const since = this.drainingSince.get(endpoint)
    if (notices.isDraining && since === undefined) this.setDraining(endpoint, true)
    // All answers of one that drains say so. An answer without the word to a later request comes from its next life.
    if (!notices.isDraining && since !== undefined && sentAt > since) this.setDraining(endpoint, false)
  }

  /** Forgets what an endpoint said, since it has crashed: its next life has said nothing. */
  forget (endpoint: string): void {
    this.backoffs.forget(endpoint)
    if (this.drainingSince.has(endpoint)) this.setDraining(endpoint, false)
    this.services.endpoints.get(endpoint)?.slots.roomChanged()
  }

  private setDraining (endpoint: string, isDraining: boolean): void {
    const { logger, endpoints, entryLinks } = this.services
    if (isDraining) this.drainingSince.set(endpoint, performance.now())
    else this.drainingSince.delete(endpoint)
    const served = endpoints.get(endpoint)
    if (served === undefined) return
    const why = isDraining ? 'it says so in its answers' : 'it has started again'
    logger.info({ channel: 'endpoint', event: isDraining ? 'leaving' : 'up', endpoint, why })
    served.slots.isDraining = isDraining
    served.slots.roomChanged()
    entryLinks.endpointsChanged()
  }
}
