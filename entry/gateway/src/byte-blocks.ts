/**
 * Collects bytes that are kept until they are complete, in memory that grows with their number and not with that of their chunks.
 * Blocks are used again: the garbage collector frees memory outside the heap late, so that new blocks for each response would take
 * many times what is kept.
 */

/** Size of the first block, which is not used again: most responses need no other. */
const FIRST_BLOCK_BYTES = 4 * 1024
const BLOCK_BYTES = 16 * 1024
/** Number of blocks that wait for their next use: as much as a few of the largest events have. */
const MAX_SPARE_BLOCKS = 256

/** Blocks for the next use, of all responses. */
const spareBlocks: Buffer[] = []

export class ByteBlocks {
  /** All of them are full but the last. */
  private blocks: Buffer[] = []
  /** Bytes that are used of the last block. */
  private used = 0
  /** Number of bytes collected. */
  length = 0

  push (chunk: Buffer): void {
    this.length += chunk.length
    for (let offset = 0; offset < chunk.length;) {
      const copied = chunk.copy(this.blockWithRoom(), this.used, offset)
      this.used += copied
      offset += copied
    }
  }

  /** Returns all bytes as one buffer, which stays as it is when the blocks are used again. */
  join (): Buffer {
    const last = this.blocks.at(-1)?.subarray(0, this.used)
    if (last === undefined) return Buffer.alloc(0)
    return this.blocks.length === 1 ? last : Buffer.concat([...this.blocks.slice(0, -1), last], this.length)
  }

  /** Forgets all bytes, and leaves the blocks to others. */
  clear (): void {
    for (const block of this.blocks.slice(1)) if (spareBlocks.length < MAX_SPARE_BLOCKS) spareBlocks.push(block)
    this.blocks = []
    this.used = 0
    this.length = 0
  }

  private blockWithRoom (): Buffer {
    const last = this.blocks.at(-1)
    if (last !== undefined && this.used < last.length) return last
    const block = last === undefined ? Buffer.allocUnsafeSlow(FIRST_BLOCK_BYTES) : spareBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
    this.blocks.push(block)
    this.used = 0
    return block
  }
}
