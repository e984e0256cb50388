/**
 * Tells which process has opened a connection on this machine, so that a proxy can cut one process off and not another.
 * Questions that come together are answered by one look: when many processes start at once, one look for each connection
 * took longer than a handshake may, and nothing ever linked.
 */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'

const LOCAL_ADDRESS = 1
const REMOTE_ADDRESS = 2
const INODE = 9
/** So long questions are gathered for one look, in ms; well below the shortest handshake of a link. */
const GATHER_MS = 5

export interface ConnectionEnds {
  /** The port of the one that has opened the connection. */
  from: number
  /** The port that it was opened to. */
  to: number
}

type Look = (ends: ConnectionEnds) => string | undefined

export class ConnectionSources {
  private next: Promise<Look> | undefined

  constructor (private readonly pids: ReadonlyMap<string, number>) {}

  /** Gives the process that holds a connection; undefined if none of those that are known does. */
  async of (ends: ConnectionEnds): Promise<string | undefined> {
    this.next ??= this.lookSoon()
    return (await this.next)(ends)
  }

  private async lookSoon (): Promise<Look> {
    await sleep(GATHER_MS)
    this.next = undefined
    const inodes = inodesByEnds()
    const holders = holdersOf(this.pids)
    return (ends) => holders.get(inodes.get(keyOf(ends)) ?? '')
  }
}

function keyOf ({ from, to }: ConnectionEnds): string {
  return `${from}>${to}`
}

function inodesByEnds (): Map<string, string> {
  const inodes = new Map<string, string>()
  for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n')) {
    const fields = line.trim().split(/\s+/)
    inodes.set(keyOf({ from: portOf(fields[LOCAL_ADDRESS]), to: portOf(fields[REMOTE_ADDRESS]) }), fields[INODE] ?? '')
  }
  return inodes
}

function portOf (address = ''): number {
  return parseInt(address.slice(address.indexOf(':') + 1), 16)
}

/** The process of each socket, by its inode. */
function holdersOf (pids: ReadonlyMap<string, number>): Map<string, string> {
  const holders = new Map<string, string>()
  for (const [name, pid] of pids) {
    for (const target of openFiles(pid)) {
      const inode = /^socket:\[(\d+)\]$/.exec(target)?.[1]
      if (inode !== undefined) holders.set(inode, name)
    }
  }
  return holders
}

/** What a process has open; nothing of one that has ended. */
function openFiles (pid: number): string[] {
  const folder = `/proc/${pid}/fd`
  try {
    return readdirSync(folder).map((name) => linkTarget(`${folder}/${name}`))
  } catch {
    return []
  }
}

function linkTarget (path: string): string {
  try {
    return readlinkSync(path)
  } catch {
    return ''
  }
}
