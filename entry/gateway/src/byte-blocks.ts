/** Collects bytes that are kept until they are complete, in memory that grows with their number and not with that of their chunks. */

const MIN_BLOCK_BYTES = 4 * 1024
const MAX_BLOCK_BYTES = 256 * 1024
/** Share of the memory of a chunk's bytes that it has to use to be kept as it is; a smaller one is copied, so that the rest is freed. */
const MIN_USED_SHARE = 0.5

export class ByteBlocks {
  private blocks: Buffer[] = []
  /** The block that small chunks are copied to. */
  private copies: Buffer | undefined
  /** Bytes that are used of it. */
  private used = 0
  /** Number of bytes collected. */
  length = 0

  push (chunk: Buffer): void {
    if (chunk.length === 0) return
    this.length += chunk.length
    if (chunk.length >= MIN_BLOCK_BYTES && chunk.length >= MIN_USED_SHARE * chunk.buffer.byteLength) {
      this.endCopies()
      this.blocks.push(chunk)
    } else this.copy(chunk)
  }

  /** Returns all bytes as one buffer. */
  join (): Buffer {
    const blocks = this.copies === undefined ? this.blocks : [...this.blocks, this.copies.subarray(0, this.used)]
    const [only] = blocks
    return only !== undefined && blocks.length === 1 ? only : Buffer.concat(blocks, this.length)
  }

  clear (): void {
    this.blocks = []
    this.copies = undefined
    this.used = 0
    this.length = 0
  }

  private copy (chunk: Buffer): void {
    for (let offset = 0; offset < chunk.length;) {
      if (this.copies === undefined || this.used === this.copies.length) {
        const blockBytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, 2 * (this.copies?.length ?? 0)))
        this.endCopies()
        this.copies = Buffer.allocUnsafeSlow(blockBytes)
      }
      const copied = chunk.copy(this.copies, this.used, offset)
      this.used += copied
      offset += copied
    }
  }

  private endCopies (): void {
    if (this.copies !== undefined) this.blocks.push(this.copies.subarray(0, this.used))
    this.copies = undefined
    this.used = 0
  }
}
