/** What three control processes on disks do: claims, changes, spread, a new leader, recovery. */
import { newStartId } from '@gullwall/core.ids'
import { silentLogger } from '@gullwall/core.logger'
import { RevisionStore, Spreader } from '@gullwall/config.spread'
import { ControlClient } from '@gullwall/control.client'
import { until } from '@gullwall/bench.deployment'
import { figures, ProcessDeployment, quantiles, readJson, type Quantiles, type RunningProgram } from '@gullwall/bench.processes'

/** Times from accepted to in force, in ms. */
export interface SpreadTimes extends Quantiles {
  processes: number
  changes: number
}

export interface ControlFigures {
  claimsPerSecond: number
  /** Processor seconds of the leader for each claim. */
  leaderCpuPerClaim: number
  changesPerSecond: number
  /** From the answer `accepted` to in force at each linked process, in ms. */
  spreadMs: SpreadTimes
  spreadUnderClaimsMs: SpreadTimes
  newLeaderMs: number
  recoveryMs: { changes: number, ms: number }
  controlMemoryMiB: number
}

const PROCESSES = 200
const SPREAD_CHANGES = 60
const CLAIM_SECONDS = 3
const CLAIM_CONCURRENCY = 300
const CHANGES = 10_000
const CHANGE_CONCURRENCY = 64
const MS_PER_SECOND = 1000
const MIB = 1024 * 1024
const HOLD_MS = 60_000
const LINK_KEY = 'a-shared-key-for-loopback'

interface LinkedProcess {
  store: RevisionStore
  client: ControlClient
}

export async function measureControl (): Promise<ControlFigures> {
  const deployment = new ProcessDeployment({ boxes: [], entries: [], controls: 3, records: '[selector.any]\nmatch = ""\n', logLevel: 'warn' })
  await deployment.start()
  const linked = Array.from({ length: PROCESSES }, (_, index) => link(deployment, index))
  try {
    await until('all processes to be linked', () => linked.every(({ client, store }) => client.notReady() === undefined && store.revision > 0))
    const spreadMs = await measureSpread(deployment, linked)
    const claims = await measureClaims(deployment, linked)
    let isMeasuring = true
    const load = keepClaiming(linked, () => isMeasuring)
    const spreadUnderClaimsMs = await measureSpread(deployment, linked)
    isMeasuring = false
    await load
    const changesPerSecond = await measureChanges(deployment)
    const recoveryMs = await measureRecovery(deployment)
    const controlMemoryMiB = (await figures(deployment.controls[0]?.admin ?? '')).memory / MIB
    const newLeaderMs = await measureNewLeader(deployment, linked)
    return { ...claims, changesPerSecond, spreadMs, spreadUnderClaimsMs, newLeaderMs, recoveryMs, controlMemoryMiB }
  } finally {
    for (const { client } of linked) client.stop()
    await deployment.stop()
  }
}

function link (deployment: ProcessDeployment, index: number): LinkedProcess {
  const store = new RevisionStore({ logger: silentLogger() })
  const spreader = new Spreader(store, { takes: true })
  const client = new ControlClient({
    local: { role: 'entry', name: `p${index}`, startId: newStartId(), dataCentre: 'east' },
    sharedKey: LINK_KEY,
    addresses: deployment.controls.map(({ listen }) => listen),
    logger: silentLogger(),
    store,
    spreader
  })
  client.start()
  return { store, client }
}

async function measureSpread (deployment: ProcessDeployment, linked: LinkedProcess[]): Promise<SpreadTimes> {
  const operator = deployment.operator()
  const times: number[] = []
  let acceptedAt = 0
  let revision = Infinity
  const early: number[] = []
  for (const { store } of linked) {
    store.onChange(() => {
      if (store.revision === revision) times.push(performance.now() - acceptedAt)
      else early.push(store.revision)
    })
  }
  for (let change = 0; change < SPREAD_CHANGES; change++) {
    const before = early.length
    const result = await operator.apply([{ key: 'selector/any', value: JSON.stringify({ match: `change=c${change}` }) }])
    if (result.type !== 'accepted') throw new Error('a change was not accepted')
    acceptedAt = performance.now()
    revision = result.revision
    // Processes that had it before the operator's answer came waited for nothing.
    for (const seen of early.slice(before)) if (seen === revision) times.push(0)
    await until('the change to be in force', () => linked.every(({ store }) => store.revision >= result.revision))
  }
  await operator.close()
  revision = Infinity
  return { processes: linked.length, changes: SPREAD_CHANGES, ...quantiles(times) }
}

async function measureClaims (deployment: ProcessDeployment, linked: LinkedProcess[]): Promise<Pick<ControlFigures, 'claimsPerSecond' | 'leaderCpuPerClaim'>> {
  const leader = await findLeader(deployment)
  const before = await figures(leader.admin)
  const startedAt = performance.now()
  const count = await keepClaiming(linked, () => performance.now() - startedAt < CLAIM_SECONDS * MS_PER_SECOND)
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND
  const after = await figures(leader.admin)
  return { claimsPerSecond: count / seconds, leaderCpuPerClaim: (after.cpu - before.cpu) / count }
}

async function keepClaiming (linked: LinkedProcess[], goesOn: () => boolean): Promise<number> {
  let count = 0
  await Promise.all(Array.from({ length: CLAIM_CONCURRENCY }, async (_, worker) => {
    const client = linked[worker % linked.length]?.client
    if (client === undefined) return
    while (goesOn()) {
      const id = newStartId()
      await client.claim(`k-${id}`, id, HOLD_MS)
      count += 1
    }
  }))
  return count
}

async function measureChanges (deployment: ProcessDeployment): Promise<number> {
  const operator = deployment.operator()
  const startedAt = performance.now()
  let sent = 0
  await Promise.all(Array.from({ length: CHANGE_CONCURRENCY }, async () => {
    while (sent < CHANGES) {
      sent += 1
      await operator.apply([{ key: `selector/s${sent % 500}`, value: JSON.stringify({ match: `n=n${sent}` }) }])
    }
  }))
  await operator.close()
  return CHANGES / ((performance.now() - startedAt) / MS_PER_SECOND)
}

/** From the start of a process to all changes in force there. */
async function measureRecovery (deployment: ProcessDeployment): Promise<ControlFigures['recoveryMs']> {
  const leader = await findLeader(deployment)
  const position = deployment.controls.findIndex((control) => control !== leader)
  const follower = deployment.controls[position] as RunningProgram
  const { revision = 0 } = await readJson<{ revision: number }>(leader.admin, '/status') ?? {}
  await follower.child.kill()
  const startedAt = performance.now()
  deployment.controls[position] = deployment.restart('gullwall-control', follower)
  await until('recovery', async () => (await readJson<{ revision: number }>(follower.admin, '/status'))?.revision === revision)
  return { changes: CHANGES, ms: performance.now() - startedAt }
}

/** From the loss of the leader to the next claim that is accepted. */
async function measureNewLeader (deployment: ProcessDeployment, linked: LinkedProcess[]): Promise<number> {
  const leader = await findLeader(deployment)
  await leader.child.kill()
  const startedAt = performance.now()
  await until('a new leader', async () => {
    try {
      const id = newStartId()
      await Promise.any(linked.slice(0, 20).map(async ({ client }) => await client.claim(`l-${id}`, id, HOLD_MS)))
      return true
    } catch {
      return false
    }
  })
  return performance.now() - startedAt
}

async function findLeader (deployment: ProcessDeployment): Promise<RunningProgram> {
  for (const control of deployment.controls) {
    const status = await readJson<{ quorum: { role: string } }>(control.admin, '/status')
    if (status?.quorum.role === 'leader') return control
  }
  throw new Error('no leader')
}
