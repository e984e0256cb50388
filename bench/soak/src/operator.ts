/** The operator: changes the document again and again, also wrongly and twice, reads it back, and evacuates data centres. */
import { documentOf, invalidDocument } from './documents.ts'
import { type Order, type Reading } from './journal.ts'
import { type Random } from './random.ts'
import { OPERATOR_TOKEN, type Site } from './site.ts'
import { ask, pause, type Question } from './waiting.ts'

/** An order is sent again until it is taken, for so long at most, in ms. */
const PERSIST_MS = 8000
const RETRY_MS = 150
const TIMEOUT_MS = 2000
const PAUSE_MS = { from: 500, to: 3500 }
const INVALID_SHARE = 0.1
/** An order that was acknowledged comes a second time. */
const AGAIN_SHARE = 0.15
/** Versions do not rise in even steps. */
const MAX_STEP = 3
const INVALID_AHEAD = 1000
const OK = 200
const REDIRECT = 300
const SERVER_ERROR = 500
const CLIENT_ERROR = 400

export class Operator {
  /** Every version that was sent and is not invalid. */
  readonly versions: number[] = []
  private stopped = false
  private working: Promise<void>[] = []
  private readonly random: Random

  constructor (private readonly site: Site, private readonly onVersion: (versions: number[]) => void) {
    this.random = site.options.random
  }

  /** Has the first document accepted. */
  async begin (): Promise<void> {
    await this.change()
  }

  start (): void {
    this.working = [this.changes(), this.reads()]
  }

  async stop (): Promise<void> {
    this.stopped = true
    await Promise.all(this.working)
  }

  /** Sends the next version until it is taken. */
  async change (): Promise<Order> {
    const version = (this.versions.at(-1) ?? 0) + 1 + Math.floor(this.random.next() * MAX_STEP)
    this.versions.push(version)
    const order = this.order('document', version, JSON.stringify(documentOf(version, this.versions)), true)
    this.onVersion([...this.versions])
    await this.persist(order, { method: 'PUT', path: '/v1/document', body: order.text })
    return order
  }

  /** Evacuates a data centre, or takes it back; false where the programs know no evacuations. */
  async evacuate (dataCentre: string, kind: 'evacuate' | 'return'): Promise<boolean> {
    const order = this.order(kind, 0, dataCentre, true)
    await this.persist(order, { method: kind === 'evacuate' ? 'PUT' : 'DELETE', path: `/v1/evacuations/${dataCentre}` })
    return order.refusedWith !== 404
  }

  /** Whether it was acknowledged that a data centre takes work again. */
  isTakenBack (dataCentre: string): boolean {
    const last = this.site.journal.orders.filter(({ kind, text }) => kind !== 'document' && text === dataCentre).at(-1)
    return last?.kind === 'return' && last.ackedAt !== undefined
  }

  /** Reads the document back at one control process; undefined where it can't be sure or does not answer. */
  async read (control: string): Promise<Reading | undefined> {
    const { journal } = this.site
    const at = journal.now
    const reply = await ask({ address: this.site.controlAddress(control), method: 'GET', path: '/v1/document', token: OPERATOR_TOKEN })
    if (reply?.status !== OK) return undefined
    const { version, text } = JSON.parse(reply.body) as { version: number, text: string }
    const reading: Reading = { at, version, text, from: control }
    journal.readings.push(reading)
    return reading
  }

  private async changes (): Promise<void> {
    while (!this.stopped) {
      await pause(this.random.between(PAUSE_MS.from, PAUSE_MS.to))
      if (this.stopped) return
      if (this.random.chance(INVALID_SHARE)) await this.sendInvalid()
      else await this.change()
    }
  }

  private async reads (): Promise<void> {
    while (!this.stopped) {
      await pause(this.random.between(PAUSE_MS.from, PAUSE_MS.to))
      await this.read(this.random.pick([...this.site.controls.keys()]))
    }
  }

  private async sendInvalid (): Promise<void> {
    const version = (this.versions.at(-1) ?? 0) + INVALID_AHEAD
    const order = this.order('document', version, JSON.stringify(invalidDocument(version, this.versions)), false)
    await this.persist(order, { method: 'PUT', path: '/v1/document', body: order.text })
  }

  private order (kind: Order['kind'], version: number, text: string, isValid: boolean): Order {
    const order: Order = { kind, version, text, isValid, sentAt: this.site.journal.now }
    this.site.journal.orders.push(order)
    return order
  }

  private async persist (order: Order, question: Pick<Question, 'method' | 'path' | 'body'>): Promise<void> {
    const { journal } = this.site
    while (!this.stopped && journal.now - order.sentAt < PERSIST_MS) {
      const reply = await this.send(question)
      const status = reply ?? SERVER_ERROR
      if (status >= OK && status < REDIRECT) {
        order.ackedAt ??= journal.now
        if (!this.random.chance(AGAIN_SHARE)) return
      } else if (status >= CLIENT_ERROR && status < SERVER_ERROR) {
        order.refusedWith = status
        return
      }
      await pause(RETRY_MS)
    }
  }

  private async send (question: Pick<Question, 'method' | 'path' | 'body'>): Promise<number | undefined> {
    const control = this.random.pick([...this.site.controls.keys()])
    const reply = await ask({ ...question, address: this.site.controlAddress(control), token: OPERATOR_TOKEN, timeoutMs: TIMEOUT_MS })
    return reply?.status
  }
}
