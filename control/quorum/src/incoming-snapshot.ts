/** Joins the parts of a leader's snapshot as they arrive. */
import { GullwallError } from '@gullwall/core.error'
import { type MessageOf } from '@gullwall/transport.messages'

export class IncomingSnapshot {
  private id = ''
  private text = ''

  /**
   * Adds a part. Returns the whole text with the last part, and undefined before. A part of another snapshot is refused: a call that
   * timed out may still arrive between the parts of the next snapshot.
   * @throws ERR_GULLWALL_SNAPSHOT_GAP if the part does not follow those that were added
   */
  add (part: MessageOf<'install'>): string | undefined {
    const id = idOf(part)
    if (part.offset === 0) this.reset(id)
    if (id !== this.id || part.offset !== this.text.length) {
      throw new GullwallError('ERR_GULLWALL_SNAPSHOT_GAP', `the part at ${part.offset} does not follow ${this.text.length} characters of this snapshot`, {
        step: 'quorum install', peer: part.leader
      })
    }
    this.text += part.data
    if (!part.last) return undefined
    const { text } = this
    this.reset('')
    return text
  }

  private reset (id: string): void {
    this.id = id
    this.text = ''
  }
}

/** A leader takes one snapshot at an index. Leaders of builds that do not send the index are told apart by their term only. */
function idOf ({ leader, term, index }: MessageOf<'install'>): string {
  return `${leader} ${term} ${index ?? ''}`
}
