/** A simulation of an engine's batch and memory, driven by the clock of the test. */

export interface EngineRequest {
  id: number
  urgency: number
  sharedPrefixId: string
  sharedTokens: number
  ownTokens: number
  outputTokens: number
}

interface Run {
  request: EngineRequest
  arrivedAt: number
  admittedAt: number
  unreadTokens: number
  outputCount: number
  wasPreempted: boolean
  firstAt: number | undefined
}

export interface FinishedRun {
  request: EngineRequest
  queuedMs: number
  firstMs: number
  wasPreempted: boolean
}

const PREFILL_TOKENS_PER_MS = 36
const STEP_TOKENS = 2048
const STEP_MS = 10

export class SimulatedEngine {
  /** Prefilled tokens, including repeated prefill. */
  prefilledTokens = 0
  preemptions = 0
  private waiting: Run[] = []
  private running: Run[] = []
  /** The cached shared parts, least recently used first. */
  private readonly cached = new Map<string, number>()
  private stepEndsAt = 0

  constructor (private readonly slots: number, private readonly memoryTokens: number) {}

  send (request: EngineRequest, now: number): void {
    this.waiting.push({ request, arrivedAt: now, admittedAt: -1, unreadTokens: 0, outputCount: 0, wasPreempted: false, firstAt: undefined })
  }

  /** Advances to a time; returns the requests that got their first token and those that ended. */
  advance (now: number): { begun: EngineRequest[], ended: FinishedRun[] } {
    const begun: EngineRequest[] = []
    const ended: FinishedRun[] = []
    while (this.stepEndsAt <= now) {
      this.admit(this.stepEndsAt)
      const prefilledTokens = this.prefill()
      this.stepEndsAt += STEP_MS + prefilledTokens / PREFILL_TOKENS_PER_MS
      for (const run of [...this.running]) this.makeToken(run, begun, ended)
      this.makeRoom()
    }
    return { begun, ended }
  }

  private makeToken (run: Run, begun: EngineRequest[], ended: FinishedRun[]): void {
    if (run.unreadTokens > 0) return
    run.outputCount += 1
    if (run.firstAt === undefined) {
      run.firstAt = this.stepEndsAt
      begun.push(run.request)
    }
    if (run.outputCount < run.request.outputTokens) return
    this.running = this.running.filter((other) => other !== run)
    const { request, arrivedAt, admittedAt, firstAt, wasPreempted } = run
    ended.push({ request, queuedMs: admittedAt - arrivedAt, firstMs: firstAt - arrivedAt, wasPreempted })
  }

  private admit (now: number): void {
    this.waiting.sort((left, right) => left.request.urgency - right.request.urgency || left.arrivedAt - right.arrivedAt)
    for (let next = this.waiting[0]; next !== undefined && this.running.length < this.slots; next = this.waiting[0]) {
      const { request } = next
      const isShared = this.running.some((run) => run.request.sharedPrefixId === request.sharedPrefixId)
      if (this.usedTokens + request.ownTokens + next.outputCount + (isShared ? 0 : request.sharedTokens) > this.memoryTokens) return
      this.waiting.shift()
      next.unreadTokens = request.ownTokens + next.outputCount + (this.cached.has(request.sharedPrefixId) ? 0 : request.sharedTokens)
      if (next.admittedAt < 0) next.admittedAt = now
      this.cached.delete(request.sharedPrefixId)
      this.cached.set(request.sharedPrefixId, request.sharedTokens)
      this.running.push(next)
    }
  }

  private prefill (): number {
    let budget = STEP_TOKENS
    for (const run of this.running) {
      const tokens = Math.min(budget, run.unreadTokens)
      run.unreadTokens -= tokens
      budget -= tokens
    }
    this.prefilledTokens += STEP_TOKENS - budget
    return STEP_TOKENS - budget
  }

  private makeRoom (): void {
    while (this.usedTokens > this.memoryTokens && this.running.length > 1) {
      const last = this.running.reduce((worst, run) => run.request.urgency >= worst.request.urgency ? run : worst)
      this.running = this.running.filter((run) => run !== last)
      last.wasPreempted = true
      this.preemptions += 1
      this.waiting.push(last)
    }
    const used = new Set(this.running.map(({ request }) => request.sharedPrefixId))
    let evictableTokens = [...this.cached].reduce((sum, [sharedPrefixId, tokens]) => sum + (used.has(sharedPrefixId) ? 0 : tokens), 0)
    for (const [sharedPrefixId, tokens] of this.cached) {
      if (this.usedTokens + evictableTokens <= this.memoryTokens) return
      if (used.has(sharedPrefixId)) continue
      this.cached.delete(sharedPrefixId)
      evictableTokens -= tokens
    }
  }

  /** The tokens of running requests, which can't be evicted. */
  private get usedTokens (): number {
    const sharedPrefixes = new Map(this.running.map(({ request }) => [request.sharedPrefixId, request.sharedTokens]))
    const shared = [...sharedPrefixes.values()].reduce((sum, tokens) => sum + tokens, 0)
    return shared + this.running.reduce((sum, { request, outputCount }) => sum + request.ownTokens + outputCount, 0)
  }
}
