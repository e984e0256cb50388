/** The events of a stream that its caller has been sent, kept so that the stream can go on at another endpoint. */
import { readCompletion, type StreamedCompletion } from '@gullwall/endpoint.openai'

const JOIN_EVERY = 32

export class KeptAnswer {
  /** Whether all events are kept; a longer answer can't be resumed. */
  isComplete = true
  private kept: Buffer[] = []
  private keptBytes = 0
  /** How many of the kept buffers are joined ones. */
  private joined = 0

  constructor (private readonly maxBytes: number) {}

  add (events: Buffer): void {
    if (!this.isComplete) return
    this.kept.push(events)
    if (this.kept.length - this.joined >= JOIN_EVERY) this.join()
    this.keptBytes += events.length
    if (this.keptBytes <= this.maxBytes) return
    this.isComplete = false
    this.kept = []
    this.joined = 0
  }

  read (): StreamedCompletion {
    return readCompletion(this.kept)
  }

  /** Many small buffers take more memory than what is in them. */
  private join (): void {
    this.kept.push(Buffer.concat(this.kept.splice(this.joined)))
    this.joined = this.kept.length
  }
}
