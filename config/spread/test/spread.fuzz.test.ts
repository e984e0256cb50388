import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { silentLogger } from '@gullwall/core.logger'
import { RevisionStore, Spreader } from '@gullwall/config.spread'
import { type Link } from '@gullwall/transport.link'
import { type Message } from '@gullwall/transport.messages'

const SEED = Number(process.env['FUZZ_SEED'] ?? 20261202)
const PROCESSES = 4

/** Processes in a chain of links on which messages wait, overtake each other, come twice or are lost. */
class Chain {
  readonly stores: RevisionStore[] = []
  private readonly spreaders: Spreader[] = []
  private readonly wires: Array<{ deliver: (message: Message) => void, waiting: Message[] }> = []
  private readonly seen: number[] = []
  readonly regressions: string[] = []

  constructor () {
    for (let index = 0; index < PROCESSES; index++) {
      const store = new RevisionStore({ logger: silentLogger() })
      this.stores.push(store)
      this.spreaders.push(new Spreader(store, { takes: index > 0, schedule: (push) => push() }))
      this.seen.push(0)
      store.onChange(() => this.noteRevision(index))
    }
    for (let index = 0; index + 1 < PROCESSES; index++) this.join(index, index + 1)
  }

  change (revision: number): void {
    this.stores[0]?.apply(revision, [{ key: `class/c${revision % 5}`, value: `{"revision":${revision}}` }])
  }

  heartbeat (wire: number): void {
    const chosen = this.wires[wire % this.wires.length]
    const sender = this.stores[Math.floor((wire % this.wires.length) / 2) + wire % 2]
    chosen?.waiting.push({ kind: 'heartbeat', revision: sender?.revision ?? 0 })
  }

  deliver (wire: number, place: number, twice: boolean): void {
    const chosen = this.wires[wire % this.wires.length]
    if (chosen === undefined || chosen.waiting.length === 0) return
    const [message] = chosen.waiting.splice(place % chosen.waiting.length, 1)
    if (message === undefined) return
    chosen.deliver(message)
    if (twice) chosen.deliver(message)
  }

  lose (wire: number): void {
    this.wires[wire % this.wires.length]?.waiting.shift()
  }

  private join (left: number, right: number): void {
    const links: Link[] = []
    const wire = (from: number, to: number) => {
      const waiting: Message[] = []
      const link = { send: (message: Message) => { waiting.push(message); return true }, peer: { role: 'entry', name: `p${to}` } } as unknown as Link
      links.push(link)
      this.spreaders[from]?.opened(link)
      return { waiting, to }
    }
    const forth = wire(left, right)
    const back = wire(right, left)
    this.wires.push({ waiting: forth.waiting, deliver: (message) => { this.spreaders[right]?.receive(links[1] as Link, message) } })
    this.wires.push({ waiting: back.waiting, deliver: (message) => { this.spreaders[left]?.receive(links[0] as Link, message) } })
  }

  private noteRevision (index: number): void {
    const revision = this.stores[index]?.revision ?? 0
    if (revision <= (this.seen[index] ?? 0)) this.regressions.push(`process ${index} went from ${this.seen[index]} to ${revision}`)
    this.seen[index] = revision
  }
}

describe('the spread of revisions', () => {
  it('never goes back and never skips a change, whatever happens to messages', () => {
    console.log(`seed ${SEED}`)
    const step = fc.oneof(
      fc.record({ do: fc.constant('change' as const) }),
      fc.record({ do: fc.constant('heartbeat' as const), wire: fc.nat(5) }),
      fc.record({ do: fc.constant('deliver' as const), wire: fc.nat(5), place: fc.nat(3), twice: fc.boolean() }),
      fc.record({ do: fc.constant('lose' as const), wire: fc.nat(5) })
    )
    fc.assert(fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
      const chain = new Chain()
      const history: Array<Map<string, string>> = [new Map()]
      for (const next of steps) {
        switch (next.do) {
          case 'change':
            chain.change(history.length)
            history.push(new Map(chain.stores[0]?.records.entries()))
            break
          case 'heartbeat': chain.heartbeat(next.wire); break
          case 'deliver': chain.deliver(next.wire, next.place, next.twice); break
          case 'lose': chain.lose(next.wire)
        }
        for (const store of chain.stores) expect(new Map(store.records.entries())).toEqual(history[store.revision])
      }
      expect(chain.regressions).toEqual([])
    }), { numRuns: 500, seed: SEED })
  })
})
