/** What a member must remember besides the log: who it is, its term, and whom it gave its vote. */
import { randomBytes } from 'node:crypto'
import { readChecked, writeChecked, type Disk } from '@gullwall/control.storage'

const IDENTITY_FILE = 'identity'
const VOTE_FILE = 'vote'
const INCARNATION_BYTES = 8
/** Ends the identity of a member that was started to found the quorum. */
const FOUNDER_MARK = ' founder'

interface Vote {
  term: number
  votedFor: string | null
}

export class DurableVote {
  private constructor (
    private readonly disk: Disk,
    readonly incarnation: string,
    /** Whether this member was first started to found the quorum; a disk that was lost since does not remember it. */
    readonly mayFound: boolean,
    private vote: Vote
  ) {}

  /** Reads what is remembered; an empty folder gets a new incarnation. */
  static async open (disk: Disk, mayFound: boolean): Promise<DurableVote> {
    let identity = await readChecked(disk, IDENTITY_FILE)
    if (identity === undefined) {
      identity = randomBytes(INCARNATION_BYTES).toString('hex') + (mayFound ? FOUNDER_MARK : '')
      await writeChecked(disk, IDENTITY_FILE, identity)
    }
    const isFounder = identity.endsWith(FOUNDER_MARK)
    const incarnation = isFounder ? identity.slice(0, -FOUNDER_MARK.length) : identity
    const text = await readChecked(disk, VOTE_FILE)
    const vote = text === undefined ? { term: 0, votedFor: null } : JSON.parse(text) as Vote
    return new DurableVote(disk, incarnation, isFounder, vote)
  }

  get term (): number {
    return this.vote.term
  }

  get votedFor (): string | null {
    return this.vote.votedFor
  }

  /** Remembers a term and a vote; resolves when they are synced. */
  async set (term: number, votedFor: string | null): Promise<void> {
    await writeChecked(this.disk, VOTE_FILE, JSON.stringify({ term, votedFor }))
    this.vote = { term, votedFor }
  }
}
