/** What must hold of a quorum whatever happened: a simple comparison of lists. */
import { type Cluster } from './cluster.ts'

/** All members that are up have the same commands in the same order, each once; and nobody has voted twice in one term. */
export function checkAgreement (cluster: Cluster): string | undefined {
  if (cluster.doubleVote !== undefined) return cluster.doubleVote
  const lists = [...cluster.members].filter(([, { isUp }]) => isUp).map(([name, { machine }]) => ({ name, commands: machine.commands }))
  const longest = lists.reduce((best, list) => list.commands.length > best.commands.length ? list : best, { name: '', commands: [] as string[] })
  for (const { name, commands } of lists) {
    const differs = commands.findIndex((command, place) => command !== longest.commands[place])
    if (differs >= 0) return `${name} and ${longest.name} differ at ${differs}`
  }
  return new Set(longest.commands).size === longest.commands.length ? undefined : 'a command took effect twice'
}

/** Everything acknowledged is at every member; to be asked when all are up, healed, and have caught up. */
function checkNothingLost (cluster: Cluster): string | undefined {
  const { commands } = cluster.leader()?.options.machine as unknown as { commands: string[] }
  const lost = cluster.acknowledged.find((command) => !commands.includes(command))
  return lost === undefined ? undefined : `${lost} was acknowledged and is lost`
}

/** Heals everything and waits until all members agree; undefined if all is well. */
export async function settle (cluster: Cluster): Promise<string | undefined> {
  cluster.cuts.clear()
  for (const name of cluster.names) await cluster.restart(name)
  const isLed = await cluster.until(() => cluster.leader() !== undefined)
  if (!isLed) return 'no leader although all is healed'
  cluster.propose(cluster.leader()?.name ?? '')
  await cluster.advance(3000)
  return checkAgreement(cluster) ?? checkNothingLost(cluster)
}
