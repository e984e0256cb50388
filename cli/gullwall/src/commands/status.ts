/** The command that shows the state of the deployment. */
import { command, flag, option, number } from 'cmd-ts'
import { request } from 'undici'
import { messageOf } from '@gullwall/core.error'
import { resolveAdminAddresses, admins, connection, print, withClient, type ConnectionArgs } from '../options.ts'

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
  /** For a gateway: the version of its document, and the time for which it has been in force. */
  version?: number
  documentAgeMs?: number
  /** For a gateway: the traffic that it has sent to other regions. */
  leaving?: { requests: number, bytes: number }
  /** Number of endpoints that the gateway considers cold. */
  cold?: number
  /** Endpoints that advertise a limit, in requests per second. */
  limited?: Array<{ endpoint: string, perSecond: number }>
}

export interface DeploymentStatus {
  revision: number
  leader: string | undefined
  boxes: number
  /** The evacuated data centres. */
  evacuated: string[]
  lagging: string[]
  processes: ProcessStatus[]
  unreachable: string[]
}

const MS_PER_SECOND = 1000
const BYTES_PER_KB = 1000
/** Maximum number of lagging, and of unreachable, processes that are listed; `--json` lists all. */
const MAX_LISTED_NAMES = 8

export const statusCommand = command({
  name: 'status',
  description: 'Shows boxes, endpoints, queues, and the share of requests in time.\nExample: gullwall status --admin 10.0.0.9:7001 --watch',
  args: {
    ...connection,
    admin: admins,
    json: flag({ long: 'json', description: 'print JSON' }),
    watch: flag({ long: 'watch', description: 'print repeatedly' }),
    every: option({ type: number, long: 'every', defaultValue: () => 2, description: 'seconds between two prints' })
  },
  handler: async (args) => {
    do {
      const status = await readStatus(args, resolveAdminAddresses(args.admin))
      print(args.json ? JSON.stringify(status) : formatStatus(status))
      if (args.watch) await new Promise((resolve) => setTimeout(resolve, args.every * MS_PER_SECOND))
    } while (args.watch)
  }
})

async function readStatus (args: ConnectionArgs, addresses: string[]): Promise<DeploymentStatus> {
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

/** Formats the status for a terminal. Lists that grow with the deployment are shortened. */
export function formatStatus (status: DeploymentStatus): string {
  const { revision, leader = 'none', boxes, lagging } = status
  const lines = [`revision ${revision}, leader ${leader}, ${boxes} boxes, lagging: ${limitNames(lagging).join(', ') || 'none'}`]
  if (status.evacuated.length > 0) lines.push(`evacuated: ${status.evacuated.join(', ')}`)
  for (const { role, box, queued, classes, endpoints, ...gateway } of status.processes) {
    lines.push(`${role} ${box}${formatGateway(gateway)}`)
    for (const [name, counts] of Object.entries(classes ?? {})) lines.push(formatClass(name, counts, queued?.[name] ?? 0))
    for (const endpoint of endpoints ?? []) lines.push(formatEndpoint(endpoint))
  }
  for (const text of limitNames(status.unreachable)) lines.push(`unreachable ${text}`)
  return lines.join('\n')
}

function limitNames (names: readonly string[]): string[] {
  const left = names.length - MAX_LISTED_NAMES
  return left <= 0 ? [...names] : [...names.slice(0, MAX_LISTED_NAMES), `and ${left} more`]
}

type GatewayStatus = Pick<ProcessStatus, 'version' | 'documentAgeMs' | 'leaving' | 'cold' | 'limited'>

/** Formats the facts that only gateways report. */
function formatGateway ({ version, documentAgeMs, leaving, cold = 0, limited = [] }: GatewayStatus): string {
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
