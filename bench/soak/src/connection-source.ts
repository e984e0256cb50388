/** Tells which process has opened a connection on this machine, so that a proxy can cut one process off and not another. */
import { readFile, readdir, readlink } from 'node:fs/promises'

const LOCAL_ADDRESS = 1
const REMOTE_ADDRESS = 2
const INODE = 9

export interface ConnectionEnds {
  /** The port of the one that has opened the connection. */
  from: number
  /** The port that it was opened to. */
  to: number
}

/** Gives the one of some processes that holds a connection; undefined if none does. */
export async function sourceOf (ends: ConnectionEnds, pids: ReadonlyMap<string, number>): Promise<string | undefined> {
  const inode = await inodeOf(ends)
  if (inode === undefined) return undefined
  const wanted = `socket:[${inode}]`
  const holders = await Promise.all([...pids].map(async ([name, pid]) => await holds(pid, wanted) ? name : undefined))
  return holders.find((name) => name !== undefined)
}

async function inodeOf ({ from, to }: ConnectionEnds): Promise<string | undefined> {
  const lines = (await readFile('/proc/net/tcp', 'utf8')).split('\n')
  for (const line of lines) {
    const fields = line.trim().split(/\s+/)
    if (portOf(fields[LOCAL_ADDRESS]) === from && portOf(fields[REMOTE_ADDRESS]) === to) return fields[INODE]
  }
  return undefined
}

function portOf (address = ''): number {
  return parseInt(address.slice(address.indexOf(':') + 1), 16)
}

async function holds (pid: number, wanted: string): Promise<boolean> {
  const folder = `/proc/${pid}/fd`
  try {
    const names = await readdir(folder)
    const targets = await Promise.all(names.map(async (name) => await readlink(`${folder}/${name}`).catch(() => '')))
    return targets.includes(wanted)
  } catch {
    return false
  }
}
