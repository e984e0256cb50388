/**
 * The link of an entry or a sidecar to control. There is one link; after a failure it is opened to another control process. It transfers
 * records and members, confirms after the start that the records are not older than those that a quorum has accepted, and carries claims.
 */
import { GullwallError, messageOf } from '@gullwall/core.error'
import { type Logger } from '@gullwall/core.logger'
import { type RevisionStore, type Spreader } from '@gullwall/config.spread'
import { Dialer, type Link, type LocalIdentity } from '@gullwall/transport.link'
import { type Member, type Message, type MessageOf } from '@gullwall/transport.messages'

export interface ControlClientOptions {
  local: LocalIdentity
  sharedKey: string
  addresses: readonly string[]
  logger: Logger
  store: RevisionStore
  spreader: Spreader
  /** Returns the description of this sidecar; undefined for an entry. */
  announcement?: () => Member
  /** Receives the sidecars that control knows; only entries need them. */
  onMembers?: (message: MessageOf<'members'>) => void
  /** Receives the parts of prompts that control suspects; only sidecars need them. */
  onSuspectParts?: (link: Link, message: MessageOf<'suspectParts'>) => void
  onClose?: (link: Link) => void
}

/** The result of a claim for a request that must run at most once. */
export interface ClaimAnswer {
  granted: boolean
  /** The id of the request that has the claim. */
  holder: string
  outcome: string
}

const CONFIRM_RETRY_MS = 200
const CLAIM_TIMEOUT_MS = 3000
const CRASHES_TIMEOUT_MS = 1000

export class ControlClient {
  private dialer: Dialer | undefined
  private confirmedRevision: number | undefined
  private confirmTimer: NodeJS.Timeout | undefined
  private stopped = false

  constructor (private readonly options: ControlClientOptions) {}

  start (): void {
    const { addresses, local, sharedKey, logger, store, spreader } = this.options
    // A random first address distributes the processes over the control processes.
    const first = Math.floor(Math.random() * addresses.length)
    const ordered = [...addresses.slice(first), ...addresses.slice(0, first)]
    this.dialer = new Dialer(ordered[0] ?? '', {
      local,
      sharedKey,
      logger,
      alternatives: ordered.slice(1),
      revision: () => store.revision,
      onOpen: (link) => {
        spreader.opened(link)
        this.announce()
        void this.confirm(link)
      },
      onMessage: (link, message) => this.receive(link, message),
      onClose: (link) => {
        spreader.closed(link)
        this.options.onClose?.(link)
        clearTimeout(this.confirmTimer)
      }
    })
  }

  stop (): void {
    this.stopped = true
    clearTimeout(this.confirmTimer)
    this.dialer?.stop()
  }

  /** Returns why the present records may be older than the accepted ones; undefined if they are not. */
  notReady (): string | undefined {
    if (this.confirmedRevision === undefined) return 'no quorum has confirmed a revision yet'
    if (this.options.store.revision < this.confirmedRevision) return `revision ${this.confirmedRevision} is not here yet`
    return undefined
  }

  /** Sends control the current description of this sidecar. */
  announce (): void {
    if (this.options.announcement === undefined) return
    this.dialer?.link?.send({ kind: 'announce', member: this.options.announcement() })
  }

  /**
   * Claims a key for a request in the replicated state.
   * @throws ERR_GULLWALL_NO_QUORUM if no quorum has accepted the claim
   */
  async claim (key: string, requestId: string, holdMs: number): Promise<ClaimAnswer> {
    const message: Message = { kind: 'claim', key, requestId, holdMs }
    try {
      return await this.openLink().request(message, 'claimed', CLAIM_TIMEOUT_MS)
    } catch (cause) {
      throw new GullwallError('ERR_GULLWALL_NO_QUORUM', `the claim was not accepted: ${messageOf(cause)}`, {
        step: 'claim', hint: 'the request was not run; try again when control has a quorum', cause
      })
    }
  }

  /** Records the outcome of a claimed request. A failure is only logged, since the claim remains in force either way. */
  async settle (key: string, requestId: string, outcome: MessageOf<'settle'>['outcome']): Promise<void> {
    try {
      await this.openLink().request({ kind: 'settle', key, requestId, outcome }, 'done', CLAIM_TIMEOUT_MS)
    } catch (error) {
      this.options.logger.warn({ channel: 'process', event: 'failed', why: `settle ${requestId}: ${messageOf(error)}` })
    }
  }

  /**
   * Reports crashed endpoints to control. A quorum has stored the report once this resolves.
   * @throws ERR_GULLWALL_LINK_CLOSED, ERR_GULLWALL_LINK_TIMEOUT, ERR_GULLWALL_PEER_FAILED; the report can be sent again
   */
  async reportCrashes (report: Omit<MessageOf<'crashes'>, 'kind'>): Promise<void> {
    await this.openLink().request({ kind: 'crashes', ...report }, 'done', CRASHES_TIMEOUT_MS)
  }

  /** The link to control, if it is open. */
  get openLinks (): Link[] {
    const link = this.dialer?.link
    return link?.isOpen === true ? [link] : []
  }

  private openLink (): Link {
    const link = this.dialer?.link
    if (link?.isOpen !== true) throw new GullwallError('ERR_GULLWALL_LINK_CLOSED', 'no link to control', { step: 'control link' })
    return link
  }

  private receive (link: Link, message: Message): void {
    if (this.options.spreader.receive(link, message)) return
    if (message.kind === 'suspectParts') this.options.onSuspectParts?.(link, message)
    if (message.kind === 'members') this.options.onMembers?.(message)
  }

  private async confirm (link: Link): Promise<void> {
    if (this.confirmedRevision !== undefined || this.stopped || !link.isOpen) return
    try {
      const { revision } = await link.request({ kind: 'confirm' }, 'confirmed')
      this.confirmedRevision = revision
    } catch {
      this.confirmTimer = setTimeout(() => { void this.confirm(link) }, CONFIRM_RETRY_MS)
    }
  }
}
