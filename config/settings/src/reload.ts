/** Reads a settings file again: on SIGHUP, and when the file has changed without a signal. */
import { readFileSync } from 'node:fs'
import { type z } from 'zod'
import { checkToml, formatMistakes } from '@gullwall/config.checker'
import { messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'

const CHECK_MS = 2000

export interface SettingsReloadOptions<T> {
  file: string
  /** The text that is in force; what is in the file now, where it is not given. */
  text?: string | undefined
  schema: z.ZodType<T>
  logger: Logger
  /** Puts new settings in force, as far as a running process can. */
  apply: (settings: T) => void
}

/** Keeps the settings of a process up to date; a file that can't be read or is wrong changes nothing. */
export class SettingsReload<T> {
  private text: string
  private refusedText = ''
  private timer: NodeJS.Timeout | undefined
  private readonly onSignal = () => this.reload('SIGHUP')

  constructor (private readonly options: SettingsReloadOptions<T>) {
    this.text = options.text ?? readFileSync(options.file, 'utf8')
  }

  start (): void {
    process.on('SIGHUP', this.onSignal)
    this.timer = setInterval(() => this.reload('the file has changed'), CHECK_MS)
    this.timer.unref()
  }

  stop (): void {
    process.off('SIGHUP', this.onSignal)
    clearInterval(this.timer)
  }

  /** Reads the file and puts it in force if it has changed and is valid. */
  reload (why: string): void {
    const { file, schema } = this.options
    let text: string
    try {
      text = readFileSync(file, 'utf8')
    } catch (error) {
      this.refuse('', `${why}: ${messageOf(error)}`)
      return
    }
    if (text === this.text) return
    checkToml(text, schema, { file }).caseOf({
      Left: (mistakes) => this.refuse(text, `${why}: ${formatMistakes(mistakes)}`),
      Right: (settings) => this.accept(text, settings, why)
    })
  }

  private accept (text: string, settings: T, why: string): void {
    this.text = text
    this.refusedText = ''
    this.options.logger.info({ channel: 'process', event: 'reloaded', why })
    this.options.apply(settings)
  }

  /** The old settings stay in force; the same wrong text is told once. */
  private refuse (text: string, why: string): void {
    if (text !== '' && text === this.refusedText) return
    this.refusedText = text
    this.options.logger.error({ channel: 'process', event: 'reload-refused', why: `${why}; the old settings stay in force` })
  }
}
