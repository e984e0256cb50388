/** Adds this process to the quorum as a learner if it is not a member. The leader promotes learners to voters. */
import { messageOf } from '@gullwall/core.error'
import { ownLinkAddress } from './membership.ts'
import { type ControlServices } from './index.ts'

const RETRY_MS = 400
const CALL_TIMEOUT_MS = 1000

export class Joiner {
  private stopped = false
  private timer: NodeJS.Timeout | undefined
  private lastReason = ''

  constructor (private readonly services: ControlServices) {}

  start (): void {
    this.scheduleNext()
  }

  stop (): void {
    this.stopped = true
    clearTimeout(this.timer)
  }

  private scheduleNext (): void {
    if (this.stopped) return
    this.timer = setTimeout(() => { void this.joinIfNeeded().finally(() => this.scheduleNext()) }, RETRY_MS)
  }

  private async joinIfNeeded (): Promise<void> {
    const { quorum, peers, settings } = this.services
    if (this.isMember) return
    const request = { kind: 'join', member: settings.member, address: ownLinkAddress(settings), incarnation: quorum.vote.incarnation } as const
    for (const link of peers.links()) {
      try {
        await link.request(request, 'done', CALL_TIMEOUT_MS)
        return
      } catch (error) {
        this.logFailure(messageOf(error))
      }
    }
  }

  /** Whether this process is a member. A process that was removed while it was disconnected learns that only from a leader. */
  private get isMember (): boolean {
    const { quorum, settings } = this.services
    const { voters, learners } = quorum.membership
    const { incarnation } = quorum.vote
    const isListed = [voters, learners].some((members) => members[settings.member]?.incarnation === incarnation)
    return isListed && quorum.hasHeardFromLeader
  }

  private logFailure (reason: string): void {
    if (reason === this.lastReason) return
    this.lastReason = reason
    this.services.logger.info({ channel: 'quorum', event: 'member', term: this.services.quorum.vote.term, why: `not admitted yet: ${reason}` })
  }
}
