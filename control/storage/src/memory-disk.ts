/** A data folder in memory: for tests, which cut it off in the middle of a call, and for `gullwall dev`. */
import { type Disk } from './disk.ts'

/** What happens to a write that a crash meets half-way. */
export type CrashEffect = 'lost' | 'torn' | 'kept'

export class MemoryDisk implements Disk {
  private readonly files = new Map<string, Buffer>()
  private crashed = false
  /** Called before each write; what it returns decides whether the write meets a crash. */
  beforeWrite: ((name: string) => CrashEffect | undefined) | undefined

  /** The same content for the process that starts after a crash. */
  reopened (): MemoryDisk {
    const disk = new MemoryDisk()
    for (const [name, content] of this.files) disk.files.set(name, content)
    return disk
  }

  async read (name: string): Promise<Buffer | undefined> {
    return this.files.get(name)
  }

  async append (name: string, data: Buffer): Promise<void> {
    const before = this.files.get(name) ?? Buffer.alloc(0)
    await this.write(name, (part) => Buffer.concat([before, data.subarray(0, Math.floor(data.length * part))]))
  }

  async truncate (name: string, length: number): Promise<void> {
    const before = this.files.get(name) ?? Buffer.alloc(0)
    await this.write(name, (part) => part < 1 ? before : before.subarray(0, length))
  }

  async replace (name: string, data: Buffer): Promise<void> {
    const before = this.files.get(name)
    await this.write(name, (part) => part < 1 ? before : data)
  }

  /** From now on nothing is written and no call resolves, as for a process that was killed. */
  crash (): void {
    this.crashed = true
  }

  async close (): Promise<void> {}

  private async write (name: string, content: (part: number) => Buffer | undefined): Promise<void> {
    await Promise.resolve()
    if (this.crashed) return await never()
    const effect = this.beforeWrite?.(name)
    if (effect === undefined) {
      this.set(name, content(1))
      return
    }
    const HALF = 0.5
    this.crash()
    this.set(name, content(effect === 'lost' ? 0 : effect === 'torn' ? HALF : 1))
    return await never()
  }

  private set (name: string, content: Buffer | undefined): void {
    if (content !== undefined) this.files.set(name, content)
  }
}

function never (): Promise<never> {
  return new Promise(() => {})
}
