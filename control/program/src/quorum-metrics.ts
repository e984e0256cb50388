/** The metrics of the quorum: how far the leader has brought each member. */
import { type QuorumNode } from '@gullwall/control.quorum'
import { gauge, type Registry } from '@gullwall/core.metrics'

const MS_PER_SECOND = 1000

/** Adds the metrics to a registry. Only the leader knows how far the members are; other processes tell nothing. */
export function addQuorumMetrics (registry: Registry, quorum: Pick<QuorumNode, 'status'>): void {
  const behind = gauge(registry, 'gullwall_quorum_member_behind_entries', 'Entries of the log that a member is not known to hold', ['member'])
  const stalled = gauge(registry, 'gullwall_quorum_member_stalled_seconds', 'Time for which a member has been behind without being brought further', ['member'])
  Object.assign(behind, {
    collect: () => {
      behind.reset()
      for (const progress of quorum.status().replication) behind.set({ member: progress.member }, progress.behind)
    }
  })
  Object.assign(stalled, {
    collect: () => {
      stalled.reset()
      for (const { member, stalledMs } of quorum.status().replication) stalled.set({ member }, stalledMs / MS_PER_SECOND)
    }
  })
}
