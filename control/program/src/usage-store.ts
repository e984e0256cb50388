/**
 * Keeps what the entries here have counted on the disk, so that a window whose report is not decided yet survives a kill of
 * all processes. Without it such a kill lost the window under way and the one before.
 */
import { z } from 'zod'
import { readChecked, writeChecked } from '@gullwall/control.storage'
import { type SourceWindow } from '@gullwall/control.usage'
import { messageOf } from '@gullwall/core.error'
import { usageCountSchema } from '@gullwall/transport.messages'
import { type ControlServices } from './index.ts'
import { ThrottledAction } from './throttled-action.ts'

const FILE = 'usage'
/** The file is written so often at most, in ms. With what entries have not told yet it is what a kill of all loses. */
const SAVE_SPACING_MS = 100
/** To put together what is written takes this share of the time: about half of what control may take of a core (3.8%). */
const SAVE_SHARE = 0.02
/** The file is written so often at least where it is large, in ms. */
const MAX_SAVE_SPACING_MS = 1000

const fileSchema = z.array(z.object({ source: z.string(), window: z.number().int().min(0), counts: z.array(usageCountSchema) }))

export interface UsageStoreOptions {
  services: Pick<ControlServices, 'disk' | 'logger'>
  /** What is to be kept now. */
  takeSnapshot: () => SourceWindow[]
  now?: () => number
}

export class UsageStore {
  private readonly saving = new ThrottledAction(() => this.spacingMs, () => { void this.save() })
  private spacingMs = SAVE_SPACING_MS
  private isSaving = false
  private isStopped = false
  /** Until the file has been read nothing is written: entries tell a process that starts before it has come to that. */
  private isRead = false
  private isChanged = false

  constructor (private readonly options: UsageStoreOptions) {}

  /** Gives what was kept; nothing where there is no file or it can't be used. It is to be taken over in the same turn. */
  async read (): Promise<SourceWindow[]> {
    try {
      const text = await readChecked(this.options.services.disk, FILE)
      return text === undefined ? [] : fileSchema.parse(JSON.parse(text))
    } catch (error) {
      this.warn('the counts on the disk are not used', error)
      return []
    } finally {
      this.isRead = true
      if (this.isChanged) this.requestSave()
    }
  }

  /** Notes that counts have changed. */
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
      await writeChecked(this.options.services.disk, FILE, this.textOf())
    } catch (error) {
      this.warn('the counts can\'t be written', error)
      this.requestSave()
    } finally {
      this.isSaving = false
    }
  }

  private textOf (): string {
    const { takeSnapshot, now = () => performance.now() } = this.options
    const beganAt = now()
    const text = JSON.stringify(takeSnapshot())
    this.spacingMs = Math.min(MAX_SAVE_SPACING_MS, Math.max(SAVE_SPACING_MS, (now() - beganAt) / SAVE_SHARE))
    return text
  }

  private warn (what: string, error: unknown): void {
    this.options.services.logger.warn({ channel: 'process', event: 'failed', why: `${what}: ${messageOf(error)}` })
  }
}
