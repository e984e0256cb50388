/** The heartbeats of all engines, and what they say when they leave. */
import { type Engine } from './engine.ts'
import { OPERATOR_TOKEN, type Site } from './site.ts'
import { ask, pause } from './waiting.ts'

const BEAT_MS = 1000
const LEAVE_TRIES = 8
const LEAVE_RETRY_MS = 400

export class Heartbeats {
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly site: Site) {}

  start (): void {
    this.beatAll()
    this.timer = setInterval(() => this.beatAll(), BEAT_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private beatAll (): void {
    for (const engine of this.site.engines) void beat(this.site, engine)
  }
}

/** Sends one heartbeat to the first control process that takes it; whether one did. */
export async function beat (site: Site, engine: Engine): Promise<boolean> {
  const { incarnation, state, build } = engine
  const { name, service, address, dataCentre } = engine.options
  if (state === 'gone' || engine.isUnheard) return false
  engine.sequence += 1
  const coldMs = Math.max(0, Math.round(engine.coldUntil - site.journal.now))
  const body = JSON.stringify({ service, build, address, dataCentre, slots: 8, state, coldMs, sequence: engine.sequence })
  for (const control of shuffled(site)) {
    if (site.network.isHeld(name, control)) continue
    const reply = await ask({ address: site.controlAddress(control), method: 'PUT', path: `/v1/leases/${incarnation}`, token: OPERATOR_TOKEN, body })
    if (reply !== undefined && reply.status < 300) return true
    if (engine.incarnation !== incarnation || engine.state !== state) return false
  }
  return false
}

/** Says that an engine leaves until that is acknowledged; notes when it was. */
export async function tellLeaving (site: Site, engine: Engine): Promise<void> {
  const { incarnation } = engine
  engine.state = 'draining'
  for (let tries = 0; tries < LEAVE_TRIES; tries++) {
    if (await beat(site, engine)) {
      site.journal.leavings.push({ incarnation, ackedAt: site.journal.now })
      return
    }
    await pause(LEAVE_RETRY_MS)
  }
}

/** Says that an engine is gone; notes when that was acknowledged, if nothing was before. */
export async function tellGone (site: Site, engine: Engine): Promise<void> {
  const { journal } = site
  engine.state = 'gone'
  for (const control of shuffled(site)) {
    const { incarnation } = engine
    const reply = await ask({ address: site.controlAddress(control), method: 'DELETE', path: `/v1/leases/${incarnation}`, token: OPERATOR_TOKEN })
    if (reply === undefined || reply.status >= 300) continue
    const isKnown = journal.leavings.some((leaving) => leaving.incarnation === incarnation)
    if (!isKnown) journal.leavings.push({ incarnation, ackedAt: journal.now })
    return
  }
}

function shuffled (site: Site): string[] {
  const names = [...site.controls.keys()]
  return site.options.random.some(names, names.length)
}
