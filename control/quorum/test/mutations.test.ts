/** Shows that the oracle can fail: each known way to break the protocol is caught by the fuzz. */
import { describe, expect, it, vi } from 'vitest'
import { LogFile } from '@gullwall/control.storage'
import { QuorumNode } from '@gullwall/control.quorum'
import { DurableVote } from '../src/durable-vote.ts'
import { Leader } from '../src/leader.ts'
import { fuzz } from './fuzz.ts'

const MAX_RUNS = 3000
const SEED = 7

/** A private member, for a mutation to replace. */
type Open = Record<string, (...args: never[]) => unknown>

const MUTATIONS: Record<string, () => void> = {
  'entries answered before they are synced': () => {
    vi.spyOn(LogFile.prototype, 'append').mockImplementation(async () => {})
  },
  'a vote that is not synced': () => {
    vi.spyOn(DurableVote.prototype, 'set').mockImplementation(async function (this: DurableVote, term, votedFor) {
      Object.assign(this, { vote: { term, votedFor } })
    })
  },
  'a blank disk that answers under its old name': () => {
    vi.spyOn(QuorumNode.prototype as unknown as Open, 'assertMeant').mockImplementation(() => {})
  },
  'a vote for a candidate that lacks entries': () => {
    const original = QuorumNode.prototype.handle
    vi.spyOn(QuorumNode.prototype, 'handle').mockImplementation(async function (this: QuorumNode, message) {
      return await original.call(this, message.kind === 'vote' ? { ...message, lastTerm: 1_000_000 } : message)
    })
  },
  'commit by a minority': () => {
    vi.spyOn(Leader.prototype as unknown as Open, 'countVoters').mockImplementation(() => 2)
  }
}

describe('the oracle of the quorum', () => {
  for (const firstElectionShare of [1, 0.1]) {
    for (const [name, mutate] of Object.entries(MUTATIONS)) {
      it(`catches ${name} (first elections after ${firstElectionShare} of the time)`, async () => {
        const details = await fuzz({ runs: MAX_RUNS, seed: SEED, mutate, firstElectionShare })
        expect(details.failed).toBe(true)
      }, 120_000)
    }
  }
})
