/** One program as a child process. */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

export type ProgramName = 'gullwall-entry' | 'gullwall-gateway' | 'gullwall-sidecar' | 'gullwall-control' | 'gullwall-fake-engine'

export interface ChildOptions {
  settings: string
  /** Where its log goes. */
  log: string
  /** Keep its heap below so many MiB. */
  maxHeapMiB?: number
  /** More options of Node.js. */
  nodeOptions?: string[]
  /** Folder of the built programs; that of this checkout if it is undefined. */
  programs?: string | undefined
}

const DIST = fileURLToPath(new URL('../../../dist/', import.meta.url))

export class Child {
  private readonly process: ChildProcess
  private readonly exited: Promise<unknown>

  constructor (readonly program: ProgramName, options: ChildOptions) {
    const { maxHeapMiB, nodeOptions = [], programs = DIST } = options
    const heapOptions = maxHeapMiB === undefined ? [] : [`--max-old-space-size=${maxHeapMiB}`]
    this.process = spawn(process.execPath, [...heapOptions, ...nodeOptions, join(programs, `${program}.mjs`), '--settings', options.settings], {
      stdio: ['ignore', 'pipe', 'pipe']
    })
    const log = createWriteStream(options.log, { flags: 'a' })
    this.process.stdout?.pipe(log)
    this.process.stderr?.pipe(log)
    this.exited = once(this.process, 'exit')
  }

  get pid (): number {
    return this.process.pid ?? 0
  }

  get exitCode (): number | null {
    return this.process.exitCode
  }

  /** Asks it to stop and waits until it has. */
  async terminate (): Promise<void> {
    this.process.kill('SIGTERM')
    await this.exited
  }

  /** Ends it at once, as a lost box would. */
  async kill (): Promise<void> {
    this.process.kill('SIGKILL')
    await this.exited
  }

  /** Holds it still, as a box that hangs would; `resume` lets it go on. */
  freeze (): void {
    this.process.kill('SIGSTOP')
  }

  resume (): void {
    this.process.kill('SIGCONT')
  }

  hasExited (): Promise<unknown> {
    return this.exited
  }
}
