/** A data folder. Files and the folder itself are synced before a call resolves. */
import { mkdir, open, readFile, rename, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { GullwallError } from '@gullwall/core.error'
import { type Disk } from './disk.ts'

export class FolderDisk implements Disk {
  private readonly handles = new Map<string, FileHandle>()

  private constructor (private readonly folder: string) {}

  /** Opens a data folder and makes it if it is not there. */
  static async open (folder: string): Promise<FolderDisk> {
    await mkdir(folder, { recursive: true })
    return new FolderDisk(folder)
  }

  async read (name: string): Promise<Buffer | undefined> {
    try {
      return await readFile(join(this.folder, name))
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined
      throw this.failed('read', name, error)
    }
  }

  async append (name: string, data: Buffer): Promise<void> {
    try {
      const handle = await this.handle(name)
      await handle.appendFile(data)
      await handle.datasync()
    } catch (error) {
      throw this.failed('append', name, error)
    }
  }

  async truncate (name: string, length: number): Promise<void> {
    try {
      const handle = await this.handle(name)
      await handle.truncate(length)
      await handle.sync()
    } catch (error) {
      throw this.failed('truncate', name, error)
    }
  }

  async replace (name: string, data: Buffer): Promise<void> {
    try {
      const temporary = join(this.folder, `${name}.new`)
      const handle = await open(temporary, 'w')
      await handle.writeFile(data)
      await handle.sync()
      await handle.close()
      await this.forget(name)
      await rename(temporary, join(this.folder, name))
      await this.syncFolder()
    } catch (error) {
      throw this.failed('replace', name, error)
    }
  }

  async close (): Promise<void> {
    for (const name of [...this.handles.keys()]) await this.forget(name)
  }

  private async handle (name: string): Promise<FileHandle> {
    const known = this.handles.get(name)
    if (known !== undefined) return known
    const handle = await open(join(this.folder, name), 'a')
    this.handles.set(name, handle)
    await this.syncFolder()
    return handle
  }

  private async forget (name: string): Promise<void> {
    const handle = this.handles.get(name)
    this.handles.delete(name)
    await handle?.close()
  }

  private async syncFolder (): Promise<void> {
    const handle = await open(this.folder, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }

  private failed (step: string, name: string, cause: unknown): GullwallError {
    return new GullwallError('ERR_GULLWALL_DISK', `the file ${name} failed`, {
      step: `disk ${step}`, cause, hint: 'check the space and the health of the data folder\'s disk'
    })
  }
}
