/** Commands that show what the system does. */
import { command, flag, option, number } from 'cmd-ts'
import { request } from 'undici'
import { messageOf } from '@gullwall/core.error'
import { adminAddresses, admins, connection, print, withClient, type ConnectionArgs } from '../options.ts'

interface EndpointStatus {
  name: string
  box: string
  serves: string
  inFlight: number
  limit: number
  tokenGapMs: number
  health: string
}

interface ClassCounts {
  requests: number
  answered: number
  inTime: number
  refused: number
  failed: number
}

interface ProcessStatus {
  role: string
  box: string
  revision: number
  queued?: Record<string, number>
  classes?: Record<string, ClassCounts>
  endpoints?: EndpointStatus[]
  /** Of a gateway: the version of its document, and how long that has been in force there. */
  version?: number
  documentAgeMs?: number
  /** Of a gateway: what it sent to other regions. */
  leaving?: { requests: number, bytes: number }
  /** Endpoints that a gateway knows to be cold. */
  cold?: number
  /** Endpoints that have named a limit, in requests a second. */
  limited?: Array<{ endpoint: string, perSecond: number }>
}

export interface WholeStatus {
  revision: number
  leader: string | undefined
  boxes: number
  /** Data centres. */
  evacuated: string[]
  lagging: string[]
  processes: ProcessStatus[]
  unreachable: string[]
}

const MS_PER_SECOND = 1000
const BYTES_PER_KB = 1000
/** Processes that are named of those that lag or can't be reached; `--json` gives all. */
const MAX_NAMED = 8

export const statusCommand = command({
  name: 'status',
  description: 'Shows boxes, endpoints, queues and attainment at a glance.\nExample: gullwall status --admin 10.0.0.9:7001 --watch',
  args: {
    ...connection,
    admin: admins,
    json: flag({ long: 'json', description: 'print JSON' }),
    watch: flag({ long: 'watch', description: 'print again and again' }),
    every: option({ type: number, long: 'every', defaultValue: () => 2, description: 'seconds between two prints' })
  },
  handler: async (args) => {
    do {
      const status = await readStatus(args, adminAddresses(args.admin))
      print(args.json ? JSON.stringify(status) : formatStatus(status))
      if (args.watch) await new Promise((resolve) => setTimeout(resolve, args.every * MS_PER_SECOND))
    } while (args.watch)
  }
})

async function readStatus (args: ConnectionArgs, addresses: string[]): Promise<WholeStatus> {
  const control = await withClient(args, async (client) => ({ status: await client.status(), inForce: await client.inForce() }))
  const processes: ProcessStatus[] = []
  const unreachable: string[] = []
  for (const address of addresses) {
    try {
      processes.push(await readJson<ProcessStatus>(address, '/status'))
    } catch (error) {
      unreachable.push(`${address}: ${messageOf(error)}`)
    }
  }
  const { revision, quorum, boxes, evacuated = [] } = control.status
  const lagging = control.inForce.filter((known) => known.revision < revision).map((known) => known.process)
  return { revision, leader: quorum.leader, boxes: boxes.length, evacuated, lagging, processes, unreachable }
}

/** Text for a terminal; of lists that grow with the deployment it names the first few. */
export function formatStatus (status: WholeStatus): string {
  const { revision, leader = 'none', boxes, lagging } = status
  const lines = [`revision ${revision}, leader ${leader}, ${boxes} boxes, lagging: ${firstOf(lagging).join(', ') || 'none'}`]
  if (status.evacuated.length > 0) lines.push(`evacuated: ${status.evacuated.join(', ')}`)
  for (const { role, box, queued, classes, endpoints, ...gateway } of status.processes) {
    lines.push(`${role} ${box}${formatGateway(gateway)}`)
    for (const [name, counts] of Object.entries(classes ?? {})) lines.push(formatClass(name, counts, queued?.[name] ?? 0))
    for (const endpoint of endpoints ?? []) lines.push(formatEndpoint(endpoint))
  }
  for (const text of firstOf(status.unreachable)) lines.push(`unreachable ${text}`)
  return lines.join('\n')
}

function firstOf (names: readonly string[]): string[] {
  const left = names.length - MAX_NAMED
  return left <= 0 ? [...names] : [...names.slice(0, MAX_NAMED), `and ${left} more`]
}

type GatewayFacts = Pick<ProcessStatus, 'version' | 'documentAgeMs' | 'leaving' | 'cold' | 'limited'>

/** What only gateways tell. */
function formatGateway ({ version, documentAgeMs, leaving, cold = 0, limited = [] }: GatewayFacts): string {
  const facts: string[] = []
  if (documentAgeMs !== undefined) facts.push(`document ${version} in force for ${Math.round(documentAgeMs / MS_PER_SECOND)} s`)
  if (leaving !== undefined && leaving.requests > 0) {
    facts.push(`${leaving.requests} requests to other regions`, `${Math.round(leaving.bytes / BYTES_PER_KB)} kB`)
  }
  if (cold > 0) facts.push(`${cold} cold endpoints`)
  if (limited.length > 0) facts.push(`${limited.length} limited endpoints`)
  return facts.length === 0 ? '' : `: ${facts.join(', ')}`
}

function formatClass (name: string, counts: ClassCounts, queued: number): string {
  const percent = (100 * counts.inTime / Math.max(1, counts.requests)).toFixed(1)
  return `  class ${name}: ${counts.requests} requests, ${percent}% in time, ${counts.refused} refused, ${counts.failed} failed, ${queued} waiting`
}

function formatEndpoint (endpoint: EndpointStatus): string {
  const { name, serves, inFlight, limit, tokenGapMs, health } = endpoint
  return `  endpoint ${name} (${serves}): ${inFlight}/${limit} in flight, ${tokenGapMs} ms between tokens, ${health ?? ''}`
}

async function readJson<T> (address: string, path: string): Promise<T> {
  const answer = await request(`http://${address}${path}`)
  return await answer.body.json() as T
}
