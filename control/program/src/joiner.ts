/** Makes a process that is not a member of the quorum a learner of it; the leader makes learners voters. */
import { messageOf } from '@gullwall/core.error'
import { ownLinkAddress } from './membership.ts'
import { type ControlServices } from './index.ts'

const RETRY_MS = 400
const CALL_TIMEOUT_MS = 1000

export class Joiner {
  private stopped = false
  private timer: NodeJS.Timeout | undefined
  private toldWhy = ''

  constructor (private readonly services: ControlServices) {}

  start (): void {
    this.again()
  }

  stop (): void {
    this.stopped = true
    clearTimeout(this.timer)
  }

  private again (): void {
    if (this.stopped) return
    this.timer = setTimeout(() => { void this.joinIfNeeded().finally(() => this.again()) }, RETRY_MS)
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
        this.note(messageOf(error))
      }
    }
  }

  /** As far as this process knows; one that was removed while it was away learns so only from a leader. */
  private get isMember (): boolean {
    const { quorum, settings } = this.services
    const { voters, learners } = quorum.membership
    const { incarnation } = quorum.vote
    const isListed = [voters, learners].some((members) => members[settings.member]?.incarnation === incarnation)
    return isListed && quorum.hasHeardFromLeader
  }

  private note (why: string): void {
    if (why === this.toldWhy) return
    this.toldWhy = why
    this.services.logger.info({ channel: 'quorum', event: 'member', term: this.services.quorum.vote.term, why: `not admitted yet: ${why}` })
  }
}
