/** The interface to the data folder. Every call that resolves has its effect on the disk for good. */

export interface Disk {
  /** Gives a file's content, or undefined if there is none. */
  read (name: string): Promise<Buffer | undefined>
  /** Appends to a file and syncs it. */
  append (name: string, data: Buffer): Promise<void>
  /** Cuts a file and syncs it. */
  truncate (name: string, length: number): Promise<void>
  /** Replaces a file as a whole: after a crash it has the old content or the new. */
  replace (name: string, data: Buffer): Promise<void>
  close (): Promise<void>
}
