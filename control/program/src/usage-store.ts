/**
 * Stores the usage counts of the linked entries on the disk, so that windows whose reports are not decided yet survive a kill of all
 * processes. Without the file the counts of the current window and of the previous window would be lost.
 */
import { z } from 'zod'
import { readChecked, writeChecked } from '@gullwall/control.storage'
import { type SourceWindow } from '@gullwall/control.usage'
import { messageOf } from '@gullwall/core.error'
import { usageCountSchema } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'
import { ThrottledAction } from '@gullwall/core.clock'

const FILE = 'usage'
/**
 * Shortest interval between two writes of the file, in ms. A kill of all processes loses the counts of this interval, and those that
 * entries have not reported yet.
 */
const MIN_SAVE_INTERVAL_MS = 100
/** Share of the time that building the file text may take: about half of a control process's limit of 3.8% of a core. */
const SAVE_TIME_SHARE = 0.02
/** Longest interval between two writes of a large file, in ms. */
const MAX_SAVE_INTERVAL_MS = 1000

const fileSchema = z.array(z.object({ source: z.string(), window: z.number().int().min(0), counts: z.array(usageCountSchema) }))

export interface UsageStoreOptions {
  services: Pick<ControlServices, 'disk' | 'logger'>
  /** Returns the counts to store. */
  takeSnapshot: () => SourceWindow[]
  now?: () => number
}

export class UsageStore {
  private readonly saving = new ThrottledAction(() => this.saveIntervalMs, () => { void this.save() })
  private saveIntervalMs = MIN_SAVE_INTERVAL_MS
  private isSaving = false
  private isStopped = false
  /** Whether the file has been read. Nothing is written before, because entries may report to a process that has not read it yet. */
  private isRead = false
  private isChanged = false

  constructor (private readonly options: UsageStoreOptions) {}

  /** Returns the stored counts, or none if the file is missing or invalid. The caller must apply them in the same event loop turn. */
  async read (): Promise<SourceWindow[]> {
    try {
      const text = await readChecked(this.options.services.disk, FILE)
      return text === undefined ? [] : fileSchema.parse(JSON.parse(text))
    } catch (error) {
      this.warn('the stored counts can\'t be restored', error)
      return []
    } finally {
      this.isRead = true
      if (this.isChanged) this.requestSave()
    }
  }

  /** Requests a write because counts have changed. */
  requestSave (): void {
    this.isChanged = true
    if (this.isRead && !this.isStopped) this.saving.request()
  }

  stop (): void {
    this.isStopped = true
    this.saving.stop()
  }

  private async save (): Promise<void> {
    if (this.isSaving) {
      this.requestSave()
      return
    }
    this.isSaving = true
    try {
      await writeChecked(this.options.services.disk, FILE, this.buildText())
    } catch (error) {
      this.warn('the counts can\'t be stored', error)
      this.requestSave()
    } finally {
      this.isSaving = false
    }
  }

  private buildText (): string {
    const { takeSnapshot, now = () => performance.now() } = this.options
    const beganAt = now()
    const text = JSON.stringify(takeSnapshot())
    this.saveIntervalMs = Math.min(MAX_SAVE_INTERVAL_MS, Math.max(MIN_SAVE_INTERVAL_MS, (now() - beganAt) / SAVE_TIME_SHARE))
    return text
  }

  private warn (failure: string, error: unknown): void {
    this.options.services.logger.warn({ channel: 'process', event: 'failed', why: `${failure}: ${messageOf(error)}` })
  }
}
