/**
 * Stores the leases on the disk, so that a control process knows the endpoints immediately after a restart. Without the file every
 * endpoint would be unknown until its next heartbeat. After a total power failure all requests would then go to the few endpoints
 * whose heartbeats arrive first.
 */
import { z } from 'zod'
import { readChecked, writeChecked } from '@gullwall/control.storage'
import { messageOf } from '@gullwall/core.error'
import { leaseSchema, type Lease } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'
import { ThrottledAction } from '@gullwall/core.clock'

const FILE = 'leases'
/** Shortest interval between two writes of the file, in ms. Changes of state cause a write, refreshes of leases do not. */
const MIN_SAVE_INTERVAL_MS = 500
/**
 * Bytes a second that the file may take at most. Many endpoints that change at the same time would otherwise have it written anew twice a
 * second; the leaves among these changes are in the replicated log.
 */
const MAX_SAVED_BYTES_PER_SECOND = 256 * 1024
const MS_PER_SECOND = 1000
/** Validity of a restored lease without a heartbeat, in ms: two of the usual heartbeat intervals. */
const RESTORED_VALID_MS = 2500

/** Processes of older builds store the leases alone. */
const fileSchema = z.union([z.object({ index: z.number().int().min(0), leases: z.array(leaseSchema) }), z.array(leaseSchema)])

export class LeaseStore {
  private readonly saving = new ThrottledAction(() => this.saveIntervalMs, () => { void this.save() })
  private saveIntervalMs = MIN_SAVE_INTERVAL_MS
  private isSaving = false
  private isStopped = false
  /** The index of the log at which the restored file was written. */
  private restoredIndex = Infinity

  constructor (private readonly services: Pick<ControlServices, 'disk' | 'leases' | 'logger' | 'quorum' | 'state'>) {}

  async start (): Promise<void> {
    try {
      const text = await readChecked(this.services.disk, FILE)
      if (text === undefined) return
      const stored = fileSchema.parse(JSON.parse(text))
      const { index, leases } = Array.isArray(stored) ? { index: 0, leases: stored } : stored
      this.restoredIndex = index
      this.restore(leases)
    } catch (error) {
      // The next heartbeats contain the same leases.
      this.log('the stored leases can\'t be restored', error)
    }
  }

  stop (): void {
    this.isStopped = true
    this.saving.stop()
  }

  /** Requests a write because leases have changed. */
  requestSave (): void {
    if (!this.isStopped) this.saving.request()
  }

  /**
   * Drops the restored leases if the file is so old that the log no longer remembers all leaves since. Called once this process has applied
   * all that was acknowledged before its start.
   */
  confirmRestored (): void {
    const { state, leases, logger } = this.services
    const { forgottenIndex } = state.leaves
    if (this.restoredIndex >= forgottenIndex) return
    leases.dropUnconfirmed()
    const why = `the stored leases are dropped: they are of entry ${this.restoredIndex}, and leaves are remembered from ${forgottenIndex} on`
    logger.info({ channel: 'process', event: 'restored', why })
  }

  private restore (leases: readonly Lease[]): void {
    this.services.leases.restore(leases, RESTORED_VALID_MS)
    this.services.logger.info({ channel: 'process', event: 'restored', why: `${leases.length} leases, valid for ${RESTORED_VALID_MS} ms without a heartbeat` })
  }

  private async save (): Promise<void> {
    if (this.isSaving) {
      this.requestSave()
      return
    }
    this.isSaving = true
    const { disk, leases, quorum } = this.services
    const text = JSON.stringify({ index: quorum.commitIndex, leases: leases.toWire() })
    this.saveIntervalMs = Math.max(MIN_SAVE_INTERVAL_MS, MS_PER_SECOND * text.length / MAX_SAVED_BYTES_PER_SECOND)
    try {
      await writeChecked(disk, FILE, text)
    } catch (error) {
      this.log('the leases can\'t be stored', error)
      this.requestSave()
    } finally {
      this.isSaving = false
    }
  }

  private log (failure: string, error: unknown): void {
    this.services.logger.warn({ channel: 'process', event: 'failed', why: `${failure}: ${messageOf(error)}` })
  }
}
