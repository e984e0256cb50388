/** The data centres that are evacuated according to the current records; their endpoints receive no requests. */
import { type RevisionStore } from '@gullwall/config.spread'
import { evacuationsIn, type StoredEvacuation } from '@gullwall/control.state'
import { type Logger } from '@gullwall/core.logger'
import { type DataCentreRule } from './eligibility.ts'

export interface EvacuatedDataCentresOptions {
  store: RevisionStore
  logger: Logger
  /** Wakes the requests that wait for an endpoint. */
  view: { wake: () => void }
}

export class EvacuatedDataCentres {
  /** By data centre. */
  private evacuations = new Map<string, StoredEvacuation>()
  private hasRecords = false
  private readonly listeners = new Set<(dataCentre: string) => void>()

  constructor (private readonly options: EvacuatedDataCentresOptions) {
    this.recordsChanged()
    options.store.onChange(() => this.recordsChanged())
  }

  isEvacuated (dataCentre: string): boolean {
    return this.evacuations.get(dataCentre)?.isEvacuated === true
  }

  /** The names of the data centres that are evacuated. */
  get evacuated (): string[] {
    return [...this.evacuations.keys()].filter((dataCentre) => this.isEvacuated(dataCentre))
  }

  /**
   * Adds a listener that is called with each data centre whose evacuation is withdrawn, even if this process was disconnected and
   * receives both orders together. Withdrawals from before its first records are not reported. Returns a function that removes
   * the listener.
   */
  onWithdrawn (listener: (dataCentre: string) => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Excludes endpoints in evacuated data centres. */
  readonly rule: DataCentreRule = (dataCentre) => this.isEvacuated(dataCentre) ? `data centre ${dataCentre} is evacuated` : undefined

  private recordsChanged (): void {
    const { store, view } = this.options
    if (store.revision === 0) return
    const previous = this.evacuations
    const hadRecords = this.hasRecords
    this.evacuations = evacuationsIn(store.records)
    this.hasRecords = true
    let hasChanged = false
    for (const [dataCentre, evacuation] of this.evacuations) {
      const earlier = previous.get(dataCentre)
      if (earlier?.epoch === evacuation.epoch) continue
      hasChanged = true
      this.log(dataCentre, evacuation)
      if (hadRecords && evacuation.withdrawals > (earlier?.withdrawals ?? 0)) this.notifyWithdrawn(dataCentre)
    }
    if (hasChanged) view.wake()
  }

  private notifyWithdrawn (dataCentre: string): void {
    for (const listener of [...this.listeners]) listener(dataCentre)
  }

  private log (dataCentre: string, { isEvacuated, epoch }: StoredEvacuation): void {
    const why = isEvacuated ? 'evacuated: its endpoints receive no more requests' : 'withdrawn: its endpoints receive requests again'
    this.options.logger.info({ channel: 'evacuation', event: 'applied', dataCentre, epoch, why })
  }
}
