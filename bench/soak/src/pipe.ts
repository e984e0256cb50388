/** One direction of a connection through a proxy: passes bytes, an end or a reset on, late or not at all. */
import { type Socket } from 'node:net'

interface Piece { due: number, content: Buffer | 'end' | 'reset' }

/** With more than this waiting for the target, no more is read from the source. */
const MAX_WAITING_BYTES = 1024 * 1024

export interface PipeState {
  isHeld: boolean
  delayMs: number
}

export class Pipe {
  /** When a byte last came, by the monotonic clock. */
  usedAt = performance.now()
  /** What comes is thrown away. */
  isLost = false
  private state: PipeState = { isHeld: false, delayMs: 0 }
  private readonly pieces: Piece[] = []
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly source: Socket, private readonly target: Socket) {
    source.on('data', (chunk: Buffer) => {
      this.usedAt = performance.now()
      this.take(chunk)
    })
    source.on('end', () => this.take('end'))
    source.on('error', () => {})
    for (const event of ['drain', 'close']) target.on(event, () => source.resume())
    source.on('close', (hadError) => { if (hadError || !source.readableEnded) this.take('reset') })
  }

  set (state: PipeState): void {
    this.state = state
    this.pump()
  }

  private take (content: Piece['content']): void {
    if (this.isLost) return
    this.pieces.push({ due: performance.now() + this.state.delayMs, content })
    this.pump()
  }

  private pump (): void {
    clearTimeout(this.timer)
    const now = performance.now()
    while (!this.state.isHeld) {
      const [next] = this.pieces
      if (next === undefined) return
      if (next.due > now + 1) {
        this.timer = setTimeout(() => this.pump(), next.due - now)
        return
      }
      this.pieces.shift()
      this.pass(next.content)
    }
  }

  private pass (content: Piece['content']): void {
    if (this.target.destroyed) return
    if (content === 'reset') this.target.resetAndDestroy()
    else if (content === 'end') this.target.end()
    else this.write(content)
  }

  private write (content: Buffer): void {
    this.target.write(content)
    if (this.target.writableLength > MAX_WAITING_BYTES) this.source.pause()
  }
}
