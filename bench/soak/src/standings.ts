/** How far the control processes are, as each of them says. */
import { type Standing } from './journal.ts'
import { OPERATOR_TOKEN, type Site } from './site.ts'
import { ask } from './waiting.ts'

const VOTERS = 3
/** A process that lacks so many entries of the log has not caught up. */
const MAX_BEHIND = 3

interface Status { quorum: { role: string, voters: string[], commitIndex: number } }

/** What each control process says of itself; undefined where it says nothing. */
async function readStatuses (site: Site): Promise<Array<{ control: string, status: Status | undefined }>> {
  return await Promise.all([...site.controls.keys()].map(async (control) => {
    const reply = await ask({ address: site.controlAddress(control), method: 'GET', path: '/v1/status', token: OPERATOR_TOKEN })
    return { control, status: reply?.status === 200 ? JSON.parse(reply.body) as Status : undefined }
  }))
}

/** How far each control process is behind the leader. */
export async function readStandings (site: Site): Promise<Standing[]> {
  const read = await readStatuses(site)
  const at = site.journal.now
  const newest = Math.max(...read.map(({ status }) => status?.quorum.commitIndex ?? 0))
  return read.map(({ control, status }) => ({ at, control, behind: status === undefined ? undefined : newest - status.quorum.commitIndex }))
}

/** Whether every control process runs and a leader counts all as voters. */
export async function isFullyReplicated (site: Site): Promise<boolean> {
  const statuses = (await readStatuses(site)).flatMap(({ status }) => status ?? [])
  const leader = statuses.find(({ quorum }) => quorum.role === 'leader')?.quorum
  if (statuses.length < site.controls.size || leader === undefined) return false
  return leader.voters.length >= VOTERS && statuses.every(({ quorum }) => quorum.commitIndex >= leader.commitIndex - MAX_BEHIND)
}
