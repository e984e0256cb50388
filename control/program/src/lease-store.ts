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
const SAVE_INTERVAL_MS = 500
/**
 * Validity of a restored lease without a heartbeat, in ms: two of the usual heartbeat intervals. It limits how long an endpoint that
 * began to drain just before the restart gets new requests.
 */
const RESTORED_VALID_MS = 2500

const fileSchema = z.array(leaseSchema)

export class LeaseStore {
  private readonly saving = new ThrottledAction(() => SAVE_INTERVAL_MS, () => { void this.save() })
  private isSaving = false
  private isStopped = false

  constructor (private readonly services: Pick<ControlServices, 'disk' | 'leases' | 'logger'>) {}

  async start (): Promise<void> {
    try {
      const text = await readChecked(this.services.disk, FILE)
      if (text !== undefined) this.restore(fileSchema.parse(JSON.parse(text)))
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
    try {
      await writeChecked(this.services.disk, FILE, JSON.stringify(this.services.leases.toWire()))
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
