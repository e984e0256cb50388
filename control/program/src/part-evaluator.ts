/**
 * Judges which parts of prompts crash endpoints. Every control process tells entries and sidecars the suspected parts, and adds the runs
 * that they tell to the replicated state. The leader quarantines parts, probes quarantined ones, and releases those that run well.
 */
import { messageOf } from '@gullwall/core.error'
import { gauge, type Registry } from '@gullwall/core.metrics'
import { changeToHold, changeToRelease, heldPartsIn } from '@gullwall/control.state'
import { type RecordChange } from '@gullwall/config.records'
import { findPartCauses, nameOfHold, type HeldPart, type PartRun } from '@gullwall/routing.quarantine'
import { type MessageOf } from '@gullwall/transport.messages'
import { AgeTracker } from './age-tracker.ts'
import { type ControlServices } from './index.ts'
import { beginProbe, chooseProbeStep } from './part-probes.ts'

/** Interval at which the evidence is looked at, in ms. */
const CHECK_INTERVAL_MS = 50
/** Interval at which suspects are told again, in ms: an entry may have opened its link in the meantime. */
const REPEAT_SUSPECTS_MS = 1000
const ENTRY_PREFIX = 'entry/'
/** Shortest interval between two probes, in ms: each asks all control processes for their entries. */
const MIN_PROBE_INTERVAL_MS = 1000
/** Share of the time that judgements may take: with the evidence of many crashes, each takes tens of milliseconds. */
const MAX_JUDGING_SHARE = 0.1
/** The number of quarantined parts; the oldest is released. */
const MAX_HELD_PARTS = 256

type Services = Pick<ControlServices, 'state' | 'store' | 'quorum' | 'proposer' | 'logger' | 'startId'> & {
  server: Pick<ControlServices['server'], 'forEachRunner' | 'collectProcessRevisions'>
}

export interface PartEvaluatorOptions {
  now?: () => number
}

export class PartEvaluator {
  private readonly crashAges = new AgeTracker<string>()
  private readonly suspectAges = new AgeTracker<string>()
  private readonly candidateAges = new AgeTracker<string>()
  private readonly holdAges = new AgeTracker<string>()
  /** The number of crashes with a part when its present probe was first seen here, by the name of the hold and the number of the probe. */
  private readonly crashesAtProbe = new Map<string, number>()
  /** Runs that entries have told since the last check, by part and organisation. */
  private readonly runs = new Map<string, PartRun>()
  private readonly now: () => number
  private seenVersion = -1
  private evaluatedVersion = -1
  private hasCandidates = false
  private publishedAt = -Infinity
  private hasPublished = false
  private operationCount = 0
  private nextProbeAt = -Infinity
  private nextJudgementAt = -Infinity
  private isBusy = false
  private held: { revision: number, parts: HeldPart[] } | undefined
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly services: Services, options: PartEvaluatorOptions = {}) {
    this.now = options.now ?? (() => performance.now())
  }

  start (): void {
    this.timer = setInterval(() => { void this.check() }, CHECK_INTERVAL_MS)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  addMetrics (registry: Registry): void {
    const add = (name: string, help: string, value: () => number) => {
      const metric = gauge(registry, name, help)
      Object.assign(metric, { collect: () => metric.set(value()) })
    }
    add('gullwall_quarantined_parts', 'Parts of prompts that are held because endpoints crash under them', () => this.heldParts.length)
    add('gullwall_suspected_parts', 'Parts of prompts that were at several crashes and have not run well since', () => this.evidence.findSuspects().length)
  }

  /** Receives the parts that ran well at an entry or a sidecar. They are added to the state with those of others, at the next check. */
  receiveRuns ({ runs }: Pick<MessageOf<'partRuns'>, 'runs'>): void {
    for (const run of runs) {
      const key = `${run.part} ${run.organisation}`
      if (this.runs.get(key)?.isRecent !== true) this.runs.set(key, run)
    }
  }

  /** Publishes suspects and records runs; if this process leads, quarantines, probes and releases parts. */
  async check (): Promise<void> {
    if (this.isBusy) return
    this.isBusy = true
    try {
      this.updateAges()
      this.publishSuspects()
      await this.recordRuns()
      if (this.services.quorum.role === 'leader') await this.judge()
      else this.forgetLeadership()
    } catch (error) {
      this.services.logger.sampled('parts not judged', { channel: 'quarantine', event: 'postponed', fingerprint: '', why: messageOf(error) })
    } finally {
      this.isBusy = false
    }
  }

  private get evidence () {
    return this.services.state.quarantine.partEvidence
  }

  private get heldParts (): HeldPart[] {
    const { records, revision } = this.services.store
    // There may be tens of thousands of records.
    if (this.held?.revision !== revision) this.held = { revision, parts: [...heldPartsIn(records).values()] }
    return this.held.parts
  }

  private updateAges (): void {
    const { evidence } = this
    if (evidence.version === this.seenVersion) return
    const now = this.now()
    this.crashAges.update(evidence.crashes.map(({ endpoint }) => endpoint), now)
    this.suspectAges.update(evidence.findSuspects().map(({ part }) => part), now)
  }

  private publishSuspects (): void {
    const { evidence } = this
    const now = this.now()
    if (evidence.version === this.seenVersion && (!this.hasPublished || now - this.publishedAt < REPEAT_SUSPECTS_MS)) return
    this.seenVersion = evidence.version
    const suspects = evidence.findSuspects().map(({ part, firstCrash }) => ({ part, sinceMs: this.crashAges.ageOf(firstCrash, now) }))
    // An empty list is told once, so that entries forget the earlier suspects.
    if (suspects.length > 0 || this.hasPublished) this.services.server.forEachRunner((link) => link.send({ kind: 'suspectParts', suspects }))
    this.hasPublished = suspects.length > 0
    this.publishedAt = now
  }

  private async recordRuns (): Promise<void> {
    const { evidence } = this
    if (this.runs.size === 0) return
    const relevant = new Set([...evidence.findSuspects(), ...this.heldParts].map(({ part }) => part))
    const runs = [...this.runs.values()].filter(({ part, organisation, isRecent }) => (
      relevant.has(part) && (isRecent || !evidence.wasServed(part, organisation))
    ))
    this.runs.clear()
    if (runs.length > 0) await this.services.proposer.applyQuarantineCommand({ type: 'note-crashes', crashes: [], ranWell: [], partRuns: runs })
  }

  private forgetLeadership (): void {
    this.candidateAges.reset()
    this.holdAges.reset()
    this.crashesAtProbe.clear()
    this.evaluatedVersion = -1
  }

  private async judge (): Promise<void> {
    const { evidence } = this
    if ((evidence.version !== this.evaluatedVersion || this.hasCandidates) && this.now() >= this.nextJudgementAt) {
      this.evaluatedVersion = evidence.version
      await this.holdCauses()
    }
    await this.probeHeldParts()
  }

  private async holdCauses (): Promise<void> {
    const { evidence, heldParts, services: { state } } = this
    const now = this.now()
    const held = state.quarantine.evidence.quarantined
    const begunAt = performance.now()
    const causes = findPartCauses({
      evidence,
      held: heldParts,
      isExplainedByRequest: (endpoint) => state.quarantine.evidence.hasAnyAt(endpoint, held),
      agesOf: (part) => ({ suspectMs: this.suspectAges.ageOf(part, now), candidateMs: this.candidateAges.ageOf(part, now) })
    })
    this.nextJudgementAt = now + (performance.now() - begunAt) / MAX_JUDGING_SHARE
    this.candidateAges.update(causes.candidates, now)
    this.hasCandidates = causes.candidates.length > 0
    if (causes.held.length === 0) return
    const newlyHeld = causes.held.map((cause): HeldPart => ({ ...cause, failedProbes: 0 }))
    const released = heldParts.slice(0, Math.max(0, heldParts.length + newlyHeld.length - MAX_HELD_PARTS))
    await this.apply([...newlyHeld.map(changeToHold), ...released.map(changeToRelease)])
    for (const part of newlyHeld) this.logHeld(part)
    for (const part of released) this.logReleased(part, 'too many parts are quarantined')
    await this.releaseExplainedRequests(newlyHeld)
  }

  /** Withdraws the evidence against whole requests that is explained by quarantined parts, and releases those that have none other. */
  private async releaseExplainedRequests (parts: readonly HeldPart[]): Promise<void> {
    const { quarantine } = this.services.state
    const crashes = this.evidence.crashes.filter((crash) => parts.some(({ part }) => crash.parts.has(part)))
    const explained = new Set(crashes.map(({ endpoint }) => endpoint))
    const requests = [...quarantine.evidence.quarantined].filter((fingerprint) => quarantine.evidence.isOnlyAt(fingerprint, explained))
    await this.services.proposer.applyQuarantineCommand({ type: 'forget-crashes', endpoints: [...explained], requests, keepsParts: true })
    for (const fingerprint of requests) {
      const why = 'a part of prompts explains the crashes; one more crash quarantines the request again'
      this.services.logger.info({ channel: 'quarantine', event: 'released', fingerprint, why })
    }
  }

  private async probeHeldParts (): Promise<void> {
    const { evidence, heldParts } = this
    const now = this.now()
    const stepKeyOf = (held: HeldPart) => `${nameOfHold(held)} ${held.failedProbes} ${held.probe?.number ?? ''}`
    this.holdAges.update(heldParts.map(stepKeyOf), now)
    for (const key of this.crashesAtProbe.keys()) if (!heldParts.some((held) => stepKeyOf(held) === key)) this.crashesAtProbe.delete(key)
    for (const held of heldParts) {
      const key = stepKeyOf(held)
      const crashCount = evidence.countCrashes(held.part)
      if (held.probe !== undefined && !this.crashesAtProbe.has(key)) this.crashesAtProbe.set(key, crashCount)
      const step = chooseProbeStep({
        held,
        ageMs: this.holdAges.ageOf(key, now),
        hasRunWell: evidence.hasRunWhileHeld(held.part, held.organisation),
        hasCrashed: crashCount > (this.crashesAtProbe.get(key) ?? crashCount)
      })
      if (step?.type === 'release') {
        await this.apply([changeToRelease(held)])
        this.logReleased(held, 'a request with the part ran well')
      }
      if (step?.type === 'end-probe') await this.apply([changeToHold(step.held)])
      if (step?.type === 'probe') await this.probe(held)
    }
  }

  private async probe (held: HeldPart): Promise<void> {
    const now = this.now()
    if (now < this.nextProbeAt) return
    this.nextProbeAt = now + MIN_PROBE_INTERVAL_MS
    const processes = await this.services.server.collectProcessRevisions()
    const boxes = processes.map(({ process }) => process).filter((name) => name.startsWith(ENTRY_PREFIX))
      .map((name) => name.slice(ENTRY_PREFIX.length))
    const probed = beginProbe(held, boxes)
    if (probed !== undefined) await this.apply([changeToHold(probed)])
  }

  /** Puts changes in force as an operator's change, which replicas of every build apply alike. */
  private async apply (changes: RecordChange[]): Promise<void> {
    this.operationCount += 1
    await this.services.proposer.applyOperation({
      type: 'apply',
      operationId: `quarantine-${this.services.startId}-${this.operationCount}`,
      expectedRevision: null,
      changes,
      operator: 'gullwall',
      at: new Date().toISOString()
    })
  }

  private logHeld ({ part, organisation, crashes }: HeldPart): void {
    const whose = organisation === undefined ? 'of several organisations' : `of organisation ${organisation}`
    const why = `${crashes} endpoints crashed while requests ${whose} with this part were running there, and none with it has run well since`
    this.services.logger.warn({ channel: 'quarantine', event: 'held', fingerprint: '', part, organisation, why })
  }

  private logReleased ({ part, organisation }: HeldPart, why: string): void {
    this.services.logger.info({ channel: 'quarantine', event: 'released', fingerprint: '', part, organisation, why })
  }
}
