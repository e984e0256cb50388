/** A small stand-in for an engine's batch and memory, driven by a clock that the test moves. */

export interface EngineRequest {
  id: number
  urgency: number
  subject: string
  sharedTokens: number
  ownTokens: number
  outputTokens: number
}

interface Run {
  request: EngineRequest
  arrivedAt: number
  admittedAt: number
  toRead: number
  made: number
  wasPreempted: boolean
  firstAt: number | undefined
}

export interface FinishedRun {
  request: EngineRequest
  queuedMs: number
  firstMs: number
  wasPreempted: boolean
}

const READ_TOKENS_PER_MS = 36
const STEP_TOKENS = 2048
const STEP_MS = 10

export class MemoryEngine {
  /** Tokens read, again ones included. */
  readTokens = 0
  preemptions = 0
  private waiting: Run[] = []
  private running: Run[] = []
  /** Shared parts kept, the least recently used first. */
  private readonly cached = new Map<string, number>()
  private stepEndsAt = 0

  constructor (private readonly slots: number, private readonly memoryTokens: number) {}

  send (request: EngineRequest, now: number): void {
    this.waiting.push({ request, arrivedAt: now, admittedAt: -1, toRead: 0, made: 0, wasPreempted: false, firstAt: undefined })
  }

  /** Moves on to a time; gives the requests that got their first token and those that ended. */
  advance (now: number): { begun: EngineRequest[], ended: FinishedRun[] } {
    const begun: EngineRequest[] = []
    const ended: FinishedRun[] = []
    while (this.stepEndsAt <= now) {
      this.admit(this.stepEndsAt)
      const readTokens = this.read()
      this.stepEndsAt += STEP_MS + readTokens / READ_TOKENS_PER_MS
      for (const run of [...this.running]) this.makeToken(run, begun, ended)
      this.makeRoom()
    }
    return { begun, ended }
  }

  private makeToken (run: Run, begun: EngineRequest[], ended: FinishedRun[]): void {
    if (run.toRead > 0) return
    run.made += 1
    if (run.firstAt === undefined) {
      run.firstAt = this.stepEndsAt
      begun.push(run.request)
    }
    if (run.made < run.request.outputTokens) return
    this.running = this.running.filter((other) => other !== run)
    const { request, arrivedAt, admittedAt, firstAt, wasPreempted } = run
    ended.push({ request, queuedMs: admittedAt - arrivedAt, firstMs: firstAt - arrivedAt, wasPreempted })
  }

  private admit (now: number): void {
    this.waiting.sort((left, right) => left.request.urgency - right.request.urgency || left.arrivedAt - right.arrivedAt)
    for (let next = this.waiting[0]; next !== undefined && this.running.length < this.slots; next = this.waiting[0]) {
      const { request } = next
      const isShared = this.running.some((run) => run.request.subject === request.subject)
      if (this.held + request.ownTokens + next.made + (isShared ? 0 : request.sharedTokens) > this.memoryTokens) return
      this.waiting.shift()
      next.toRead = request.ownTokens + next.made + (this.cached.has(request.subject) ? 0 : request.sharedTokens)
      if (next.admittedAt < 0) next.admittedAt = now
      this.cached.delete(request.subject)
      this.cached.set(request.subject, request.sharedTokens)
      this.running.push(next)
    }
  }

  private read (): number {
    let left = STEP_TOKENS
    for (const run of this.running) {
      const tokens = Math.min(left, run.toRead)
      run.toRead -= tokens
      left -= tokens
    }
    this.readTokens += STEP_TOKENS - left
    return STEP_TOKENS - left
  }

  private makeRoom (): void {
    while (this.held > this.memoryTokens && this.running.length > 1) {
      const last = this.running.reduce((worst, run) => run.request.urgency >= worst.request.urgency ? run : worst)
      this.running = this.running.filter((run) => run !== last)
      last.wasPreempted = true
      this.preemptions += 1
      this.waiting.push(last)
    }
    const used = new Set(this.running.map(({ request }) => request.subject))
    let kept = [...this.cached].reduce((sum, [subject, tokens]) => sum + (used.has(subject) ? 0 : tokens), 0)
    for (const [subject, tokens] of this.cached) {
      if (this.held + kept <= this.memoryTokens) return
      if (used.has(subject)) continue
      this.cached.delete(subject)
      kept -= tokens
    }
  }

  /** What can't give way. */
  private get held (): number {
    const subjects = new Map(this.running.map(({ request }) => [request.subject, request.sharedTokens]))
    const shared = [...subjects.values()].reduce((sum, tokens) => sum + tokens, 0)
    return shared + this.running.reduce((sum, { request, made }) => sum + request.ownTokens + made, 0)
  }
}
