/** Which data centres are evacuated, as the records in force here say; nothing is sent to their endpoints. */
import { type RevisionStore } from '@gullwall/config.spread'
import { evacuationsIn, type StoredEvacuation } from '@gullwall/control.state'
import { type Logger } from '@gullwall/core.logger'
import { type DataCentreRule } from './eligibility.ts'

export interface EvacuatedDataCentresOptions {
  store: RevisionStore
  logger: Logger
  /** Has requests that wait for an endpoint look again. */
  view: { wake: () => void }
}

export class EvacuatedDataCentres {
  private known = new Map<string, StoredEvacuation>()
  private hasRecords = false
  private readonly listeners = new Set<(dataCentre: string) => void>()

  constructor (private readonly options: EvacuatedDataCentresOptions) {
    this.recordsChanged()
    options.store.onChange(() => this.recordsChanged())
  }

  isEvacuated (dataCentre: string): boolean {
    return this.known.get(dataCentre)?.isEvacuated === true
  }

  /** The data centres that are evacuated. */
  get evacuated (): string[] {
    return [...this.known.keys()].filter((dataCentre) => this.isEvacuated(dataCentre))
  }

  /**
   * Calls a listener for each data centre whose evacuation is withdrawn, also where both orders arrive together because this
   * process was cut off; what was withdrawn before it had any records is not told. Gives the call that ends it.
   */
  onWithdrawn (listener: (dataCentre: string) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** The rule of eligibility. */
  readonly rule: DataCentreRule = (dataCentre) => this.isEvacuated(dataCentre) ? `data centre ${dataCentre} is evacuated` : undefined

  private recordsChanged (): void {
    const { store, view } = this.options
    if (store.revision === 0) return
    const before = this.known
    const hadRecords = this.hasRecords
    this.known = evacuationsIn(store.records)
    this.hasRecords = true
    let isNews = false
    for (const [dataCentre, evacuation] of this.known) {
      const earlier = before.get(dataCentre)
      if (earlier?.epoch === evacuation.epoch) continue
      isNews = true
      this.log(dataCentre, evacuation)
      if (hadRecords && evacuation.withdrawals > (earlier?.withdrawals ?? 0)) this.tellWithdrawn(dataCentre)
    }
    if (isNews) view.wake()
  }

  private tellWithdrawn (dataCentre: string): void {
    for (const listener of [...this.listeners]) listener(dataCentre)
  }

  private log (dataCentre: string, { isEvacuated, epoch }: StoredEvacuation): void {
    const why = isEvacuated ? 'evacuated: nothing more is sent there' : 'withdrawn: endpoints there may have requests again'
    this.options.logger.info({ channel: 'evacuation', event: 'applied', dataCentre, epoch, why })
  }
}
