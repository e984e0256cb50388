/**
 * Keeps the leases on the disk, so that a control process knows the endpoints at once after a restart. Without it each
 * endpoint would be unknown until its next heartbeat, and after a loss of power everywhere all requests would go to those
 * few that happened to be heard first.
 */
import { z } from 'zod'
import { readChecked, writeChecked } from '@gullwall/control.storage'
import { messageOf } from '@gullwall/core.error'
import { leaseSchema, type Lease } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'
import { ThrottledAction } from './throttled-action.ts'

const FILE = 'leases'
/** The file is written after changes of state, so often at most, in ms; refreshed leases are not written. */
const SAVE_SPACING_MS = 500
/**
 * A lease from the file holds for so long unless a heartbeat comes, in ms: two of the usual heartbeats. An endpoint that
 * began to leave just before the restart gets work for no longer than this.
 */
const RESTORED_MS = 2500

const fileSchema = z.array(leaseSchema)

export class LeaseStore {
  private readonly saving = new ThrottledAction(() => SAVE_SPACING_MS, () => { void this.save() })
  private isSaving = false
  private isStopped = false

  constructor (private readonly services: Pick<ControlServices, 'disk' | 'leases' | 'logger'>) {}

  async start (): Promise<void> {
    try {
      const text = await readChecked(this.services.disk, FILE)
      if (text !== undefined) this.restore(fileSchema.parse(JSON.parse(text)))
    } catch (error) {
      // Heartbeats tell all of it again.
      this.log('the leases on the disk are not used', error)
    }
  }

  stop (): void {
    this.isStopped = true
    this.saving.stop()
  }

  /** Notes that leases have changed. */
  requestSave (): void {
    if (!this.isStopped) this.saving.request()
  }

  private restore (leases: readonly Lease[]): void {
    this.services.leases.restore(leases, RESTORED_MS)
    this.services.logger.info({ channel: 'process', event: 'restored', why: `${leases.length} leases, for ${RESTORED_MS} ms unless heard` })
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
      this.log('the leases can\'t be written', error)
      this.requestSave()
    } finally {
      this.isSaving = false
    }
  }

  private log (what: string, error: unknown): void {
    this.services.logger.warn({ channel: 'process', event: 'failed', why: `${what}: ${messageOf(error)}` })
  }
}
