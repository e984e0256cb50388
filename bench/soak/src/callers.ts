/** Callers: steady requests of every kind over kept connections, some of which leave early, and probes of versions and keys. */
import { Agent, request, type ClientRequest } from 'node:http'
import { sentBody } from './answers.ts'
import { guestKey, HOST, KEY, KINDS, TIMEOUT_MS, versionPrefix } from './documents.ts'
import { SMUGGLED } from './engine-requests.ts'
import { type Attempt } from './journal.ts'
import { countEvents, nextTakeUp } from './take-ups.ts'
import { type Random } from './random.ts'
import { OPERATOR_TOKEN, type Site } from './site.ts'
import { ask, isReady } from './waiting.ts'

const BALANCER_MS = 250
/** The share of requests on kept connections whatever the balancer says. */
const KEPT_SHARE = 0.2
const LEAVE_SHARE = 0.03
const LEAVE_MS = 150
const HOP_SHARE = 0.05
/** A caller that hears nothing for so long gives up, in ms; the gateway should have answered before. */
const GIVE_UP_MS = TIMEOUT_MS + 3000
const IDLE_CONNECTIONS = 8
const OK = 200
/** The share of streams that their callers leave after some events, to take them up elsewhere. */
const MOVE_SHARE = 0.25
const MOVE_EVENTS = 4
const VERSION_RATE = 8
const GUEST_RATE = 4
const INTRUDE_MS = 3000
/** Guests also try keys of so many versions back. */
const OLD_KEYS = 5
const SECOND_MS = 1000

interface Asked { kind: string, prefix: string, key: string }

interface Sending {
  /** The request by which the caller names the stream that it takes up. */
  resumes: string | undefined
  /** The events after which the caller leaves. */
  leavesAfter: number
  finish: (failure?: Attempt['failure']) => void
}

export class Callers {
  /** Multiplies the rates of the usual requests. */
  load = 1
  /** Versions that may be in force, the newest last. */
  versions: number[] = []
  private readonly agents = new Map<string, Agent>()
  private readonly ready = new Set<string>()
  private readonly timers: NodeJS.Timeout[] = []
  private readonly open = new Set<Promise<void>>()
  private stopped = false
  private count = 0
  private readonly random: Random

  constructor (private readonly site: Site) {
    this.random = site.options.random
    for (const name of site.gateways.keys()) {
      this.agents.set(name, new Agent({ keepAlive: true, maxFreeSockets: IDLE_CONNECTIONS, noDelay: true }))
    }
  }

  start (): void {
    this.timers.push(setInterval(() => { void this.balance() }, BALANCER_MS), setInterval(() => { void this.intrude() }, INTRUDE_MS))
    for (const { name, rate } of KINDS) this.repeat(() => rate * this.load, () => ({ kind: name, prefix: `/${name}/`, key: KEY }))
    this.repeat(() => VERSION_RATE, () => this.versionProbe())
    this.repeat(() => GUEST_RATE, () => this.guestProbe())
  }

  /** Ends once every request has ended. */
  async stop (): Promise<void> {
    this.stopped = true
    for (const timer of this.timers) clearInterval(timer)
    await Promise.all(this.open)
    for (const agent of this.agents.values()) agent.destroy()
  }

  private repeat (rate: () => number, next: () => Asked | undefined): void {
    const waitMs = -Math.log(1 - this.random.next()) * SECOND_MS / rate()
    setTimeout(() => {
      if (this.stopped) return
      const asked = next()
      if (asked !== undefined) this.send(asked)
      this.repeat(rate, next)
    }, waitMs)
  }

  private versionProbe (): Asked | undefined {
    if (this.versions.length === 0) return undefined
    const version = this.random.chance(0.5) ? this.versions.at(-1) : this.random.pick(this.versions)
    return { kind: 'version', prefix: versionPrefix(version ?? 0), key: KEY }
  }

  private guestProbe (): Asked | undefined {
    const recent = this.versions.slice(-OLD_KEYS)
    if (recent.length === 0) return undefined
    return { kind: 'guest', prefix: '/look-up/', key: guestKey(this.random.pick(recent)) }
  }

  private send ({ kind, prefix, key }: Asked): void {
    this.count += 1
    const id = `q${this.count}-${Math.floor(this.random.next() * 1e6)}`
    const gateway = this.chooseGateway()
    const life = this.site.gateways.get(gateway)?.life ?? 0
    const attempt: Attempt = {
      id, subject: id, after: 0, kind, path: `${prefix}${id}`, key, gateway, life, sentAt: this.site.journal.now
    }
    this.begin(attempt)
  }

  private begin (attempt: Attempt, resumes?: string): void {
    this.site.journal.attempts.push(attempt)
    const done = this.carry(attempt, resumes)
    this.open.add(done)
    void done.finally(() => {
      this.open.delete(done)
      if (!this.stopped) this.takeUp(attempt)
    })
  }

  /** Takes a stream up that has brought events and broke off, or that the caller has left, at another gateway where there is one. */
  private takeUp (attempt: Attempt): void {
    const next = nextTakeUp(attempt, this.site.journal)
    if (next === undefined) return
    this.count += 1
    const id = `${attempt.subject}-${this.count}`
    const gateway = this.chooseGateway(attempt.gateway)
    const life = this.site.gateways.get(gateway)?.life ?? 0
    setTimeout(() => {
      if (!this.stopped) this.begin({ ...next.attempt, id, gateway, life, sentAt: this.site.journal.now }, next.resumes)
    }, next.waitMs)
  }

  private chooseGateway (other?: string): string {
    const all = [...this.site.gateways.keys()].filter((name) => name !== other)
    const kept = all.filter((name) => Object.keys(this.agents.get(name)?.freeSockets ?? {}).length > 0)
    if (kept.length > 0 && this.random.chance(KEPT_SHARE)) return this.random.pick(kept)
    const ready = [...this.ready].filter((name) => name !== other)
    return this.random.pick(ready.length > 0 ? ready : all)
  }

  private async carry (attempt: Attempt, resumes?: string): Promise<void> {
    const { journal } = this.site
    await new Promise<void>((resolve) => {
      const finish = (failure?: Attempt['failure']) => {
        clearTimeout(timer)
        if (attempt.endedAt !== undefined) return
        attempt.endedAt = journal.now
        attempt.failure = failure
        resolve()
      }
      const leavesAfter = attempt.kind === 'draft' && this.random.chance(MOVE_SHARE) ? 1 + Math.floor(this.random.next() * MOVE_EVENTS) : Infinity
      const sent = this.request(attempt, { resumes, leavesAfter, finish })
      const leavesMs = this.random.chance(LEAVE_SHARE) ? this.random.between(1, LEAVE_MS) : GIVE_UP_MS
      const timer = setTimeout(() => {
        finish('left')
        sent.destroy()
      }, leavesMs)
    })
  }

  private request (attempt: Attempt, { resumes, leavesAfter, finish }: Sending): ClientRequest {
    const [host = '', port = ''] = (this.site.places.get(attempt.gateway)?.listen ?? '').split(':')
    const sent = request({
      host, port, path: attempt.path, method: 'POST', agent: this.agents.get(attempt.gateway), headers: this.headersFor(attempt, resumes)
    }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk)
        if (response.statusCode !== OK || countEvents(Buffer.concat(chunks).toString()) < leavesAfter) return
        attempt.status = response.statusCode
        attempt.headers = response.headers
        attempt.body = Buffer.concat(chunks).toString()
        finish('left')
        sent.destroy()
      })
      response.on('error', () => {})
      response.on('close', () => {
        // What comes after the caller has left is not its answer any more.
        if (attempt.endedAt !== undefined) return
        attempt.status = response.statusCode
        attempt.headers = response.headers
        attempt.body = Buffer.concat(chunks).toString()
        attempt.isWhole = response.complete
        finish(response.complete ? undefined : 'closed')
      })
    })
    sent.on('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED' ? 'refused' : 'closed'))
    sent.end(sentBody(attempt.subject))
    return sent
  }

  /** Besides what is due, callers try to set what only gateways may tell engines. */
  private headersFor ({ id, key, after, beganAt = this.site.journal.now }: Attempt, resumes: string | undefined): Record<string, string> {
    return {
      host: HOST,
      authorization: `Bearer ${key}`,
      'x-gullwall-request-id': id,
      'x-gullwall-wait-ms': String(Math.max(1, Math.round(TIMEOUT_MS - (this.site.journal.now - beganAt)))),
      ...resumes === undefined ? {} : { 'x-gullwall-resumes': resumes },
      ...after > 0 ? { 'last-event-id': String(after) } : {},
      'x-gullwall-incarnation': SMUGGLED,
      x_gullwall_incarnation: SMUGGLED,
      'x-gullwall-urgency': SMUGGLED,
      'x_gullwall-urgency': SMUGGLED,
      'x-gullwall-organisation': SMUGGLED,
      'x-gullwall-prefix-source': `127.0.0.1:${SMUGGLED}`,
      ...this.random.chance(HOP_SHARE) ? { connection: 'keep-alive, x-gullwall-request-id' } : {}
    }
  }

  /** Learns which gateways take connections, as a balancer would. */
  private async balance (): Promise<void> {
    await Promise.all([...this.site.readiness].map(async ([name, address]) => {
      if (await isReady(address)) this.ready.add(name)
      else this.ready.delete(name)
    }))
  }

  /** Tries to change what control holds without the operators' token, or with another one. */
  private async intrude (): Promise<void> {
    const { journal, controls } = this.site
    const path = this.random.pick(['/v1/leases/nobody', '/v1/document', '/v1/evacuations/dc-1'])
    const token = this.random.chance(0.5) ? undefined : `${OPERATOR_TOKEN}-`
    const reply = await ask({ address: this.site.controlAddress(this.random.pick([...controls.keys()])), method: 'PUT', path, token, body: '{}' })
    if (reply !== undefined) journal.intrusions.push({ at: journal.now, path, status: reply.status })
  }
}
