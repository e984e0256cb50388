/**
 * Deliberate faults of the programs, each of which one check must catch. They are made in the sources on their way into a
 * test build (`build.ts`), so that no product build can carry one; a mutation whose text is gone fails the build.
 */
import { ENDLESS_MUTATIONS } from './endless-mutations.ts'
import { type FaultKind } from './faults.ts'

/** A text in one source file that is replaced. */
export interface Replacement {
  file: string
  find: string
  replace: string
}

export interface Mutation extends Replacement {
  name: string
  /** The check that must catch it. */
  check: string
  /** What else is changed, so that the fault shows within a short run. */
  more?: readonly Replacement[]
  /** Faults that bring it about; none where the usual requests do. */
  faults: FaultKind[]
}

const GATEWAY = 'entry/gateway/src'
const CALM: FaultKind = 'hang up gateway'

export const MUTATIONS: readonly Mutation[] = [
  {
    name: 'broken-taken-for-whole',
    check: 'whole',
    file: `${GATEWAY}/attempt-response-receiver.ts`,
    find: "if (end.type === 'broken' || head === undefined)",
    replace: 'if (head === undefined)',
    faults: ['engine cuts answers']
  },
  {
    name: 'cut-stream-taken-for-whole',
    check: 'whole',
    file: `${GATEWAY}/attempt-response-receiver.ts`,
    find: 'if (this.isStream && this.forwarder.isEventUnfinished)',
    replace: 'if (this.isStream && this.receivedBytes < 0)',
    faults: ['engine cuts answers']
  },
  {
    name: 'stream-goes-on-anywhere',
    check: 'one-build',
    file: `${GATEWAY}/stream-builds.ts`,
    find: 'if (binding === undefined || isSameBuild(binding, description)) return undefined',
    replace: 'if (binding !== null || isSameBuild(binding, description)) return undefined',
    faults: ['engine cuts answers']
  },
  {
    name: 'builds-not-told',
    check: 'goes-on',
    file: `${GATEWAY}/stream-builds.ts`,
    find: 'this.outbox.add(record)',
    replace: '',
    faults: [CALM]
  },
  {
    name: 'unknown-build-guessed',
    check: 'one-build',
    file: `${GATEWAY}/request-forwarder.ts`,
    find: "if (answer.type === 'unknown') {",
    replace: `if (answer.type === 'unknown' && this.call.resumes !== undefined) return
    if (answer.type === 'unknown') {`,
    faults: ['cut gateway off', 'kill everything']
  },
  {
    name: 'unnamed-stream-guessed',
    check: 'one-build',
    file: `${GATEWAY}/request-forwarder.ts`,
    find: "if (answer.type === 'unknown') {",
    replace: `if (answer.type === 'unknown' && this.call.resumes === undefined) return
    if (answer.type === 'unknown') {`,
    faults: ['build replaced beside a kill', 'engine crashes']
  },
  {
    name: 'answer-of-another',
    check: 'whole',
    file: `${GATEWAY}/attempt-response-receiver.ts`,
    find: 'response.sendComplete(status, headers, this.body.join())',
    replace: `const before = (globalThis as any).lastAnswer ?? headers
      ;(globalThis as any).lastAnswer = headers
      response.sendComplete(status, Math.random() < 0.05 ? before : headers, this.body.join())`,
    faults: [CALM]
  },
  {
    name: 'rest-not-heard',
    check: 'rest',
    file: `${GATEWAY}/endpoint-notices.ts`,
    find: 'this.backoffs.recordBackoff(incarnation, notices.backoffMs ?? 0)',
    replace: '',
    faults: ['all engines ask for rest', 'burst']
  },
  {
    name: 'limit-not-heard',
    check: 'limit',
    file: `${GATEWAY}/endpoint-notices.ts`,
    find: 'if (!view.leases.recordLimit(incarnation, receivedLimit)) return',
    replace: 'return',
    faults: ['engine names a limit', 'burst']
  },
  {
    name: 'limit-not-shared',
    check: 'limit',
    file: 'control/program/src/grant-ledger.ts',
    find: 'account.grants.add(granted, now)',
    replace: '',
    faults: ['engine names a limit', 'burst']
  },
  {
    name: 'retries-not-limited',
    check: 'retries',
    file: `${GATEWAY}/attempt-policy.ts`,
    find: 'if (!retries.tryReserve(keptRetriesShare(state)))',
    replace: 'if (!retries.tryReserve() && retries.remaining > 1)',
    faults: ['all engines shed', 'burst']
  },
  {
    name: 'share-used-after-a-start',
    check: 'retries',
    file: `${GATEWAY}/entry-count.ts`,
    find: 'return this.isConfirmed(now) && now - this.confirmedSince >= this.options.windowMs',
    replace: 'return this.isConfirmed(now)',
    faults: ['all engines shed', 'kill gateways in series']
  },
  {
    name: 'draining-not-heard',
    check: 'drains',
    file: `${GATEWAY}/endpoint-notices.ts`,
    find: 'if (notices.isDraining) this.recordDraining(incarnation)',
    replace: '',
    faults: ['engine leaves unheard']
  },
  {
    name: 'all-repeatable',
    check: 'once',
    file: `${GATEWAY}/call.ts`,
    find: "return route.kind === 'repeatable' || (route.kind === 'stream' && route.isResumable)",
    replace: 'return route !== undefined',
    faults: ['engine cuts answers', 'engine crashes']
  },
  {
    name: 'refused-after-run',
    check: 'not-run',
    file: `${GATEWAY}/request-forwarder.ts`,
    find: "const failure: FailureResponse = { status, code, message: reason, ran: this.response.hasBegun ? 'partly' : 'unknown' }",
    replace: "const failure: any = { status: 503, code, message: reason, ran: 'no' }",
    faults: ['engine cuts answers', 'engine crashes']
  },
  {
    name: 'callers-order-engines',
    check: 'outside',
    file: `${GATEWAY}/native-dialect.ts`,
    find: "neverForwarded: new Set([WAIT_MS, ORGANISATION, URGENCY, INCARNATION, LAST_EVENT_ID, PREFIX_SOURCE, 'authorization'])",
    replace: "neverForwarded: new Set([WAIT_MS, ORGANISATION, INCARNATION, LAST_EVENT_ID, 'authorization'])",
    faults: [CALM]
  },
  {
    name: 'no-token-needed',
    check: 'outside',
    file: 'control/program/src/operator-api.ts',
    find: 'if (timingSafeEqual(hash(given), hash(token)))',
    replace: "if (timingSafeEqual(hash(given), hash(token)) || context.path === '/v1/leases/nobody')",
    faults: [CALM]
  },
  {
    name: 'urgency-upside-down',
    check: 'tier',
    file: 'routing/balancer/src/urgency.ts',
    find: 'return LEVELS * tier + level',
    replace: 'return LEVELS * (2 - tier) + level',
    faults: [CALM]
  },
  {
    name: 'document-not-taken',
    check: 'config',
    file: `${GATEWAY}/deployment-view.ts`,
    find: 'if (this.table !== undefined && stored.version <= this.table.version) return',
    replace: 'if (this.table !== undefined) return',
    faults: [CALM]
  },
  {
    name: 'document-reverts',
    check: 'config',
    file: `${GATEWAY}/deployment-view.ts`,
    find: 'const before = this.table?.version',
    replace: `const before = this.table?.version
        const old = this.table
        setTimeout(() => { if (old !== undefined) this.table = old }, 600)`,
    faults: [CALM]
  },
  {
    name: 'key-stays',
    check: 'config',
    file: 'config/document/src/route-table.ts',
    find: 'return this.organisations.get(key)',
    replace: "return this.organisations.get(key) ?? (key.startsWith('key-of-the-guest') ? this.document.organisations[1] : undefined)",
    faults: [CALM]
  },
  {
    name: 'acknowledged-before-accepted',
    check: 'config',
    file: 'control/program/src/documents.ts',
    find: 'return Right(await this.services.proposer.proposeDocument(',
    replace: `if (version > 10 && version % 2 === 0) return Right({ taken: true, version })
    return Right(await this.services.proposer.proposeDocument(`,
    faults: [CALM]
  },
  {
    name: 'leaving-ones-used',
    check: 'leaves',
    file: 'control/registry/src/lease-table.ts',
    find: "return lease?.state === 'ready' &&",
    replace: "return lease !== undefined && lease.state !== 'gone' &&",
    faults: ['engine leaves']
  },
  {
    name: 'crashing-sent-on',
    check: 'crashing',
    file: 'control/program/src/crash-evaluator.ts',
    find: 'if (now - this.unevaluatedSince < EVALUATION_DELAY_MS) return',
    replace: 'if (now - this.unevaluatedSince < 1e9) return',
    faults: ['request crashes engines']
  },
  {
    name: 'part-sent-on',
    check: 'crashing-part',
    file: 'control/program/src/part-evaluator.ts',
    find: 'if (causes.held.length === 0) return',
    replace: 'if (causes.held.length >= 0) return',
    faults: ['part crashes engines']
  },
  {
    name: 'neighbours-held',
    check: 'part-neighbours',
    file: 'routing/quarantine/src/held-parts.ts',
    find: 'const held = this.held.get(part) ?? this.held.get(nameOfHold({ part, organisation }))',
    replace: 'const [held] = this.held.values()',
    faults: ['part crashes engines']
  },
  {
    name: 'stop-cuts-off',
    check: 'planned-stop',
    file: `${GATEWAY}/ingress.ts`,
    find: 'await this.responses?.stop(endsAt)',
    replace: 'await this.responses?.stop(0)',
    faults: ['stop gateway']
  },
  {
    name: 'ends-on-hang-up',
    check: 'ends',
    file: 'core/kernel/src/program.ts',
    find: "process.on('SIGHUP', () => {})",
    replace: '',
    faults: ['hang up gateway', 'hang up control']
  },
  {
    name: 'low-tier-starves',
    check: 'starve',
    file: `${GATEWAY}/attempt-policy.ts`,
    find: 'const isAlwaysAdmitted = history.mayHaveRun',
    replace: "if (tier === 2) return { type: 'refuse', reason: 'starved', retryAfterMs: 0 }\n  const isAlwaysAdmitted = history.mayHaveRun",
    faults: [CALM]
  },
  {
    name: 'no-later-elections',
    check: 'recover',
    file: 'control/quorum/src/election.ts',
    find: 'if (!prevote || node.isStopped) return',
    replace: 'if (!prevote || node.isStopped || node.vote.term > 2) return',
    faults: ['kill everything', 'kill control']
  },
  {
    name: 'rejection-of-another-taken',
    check: 'not-run',
    file: `${GATEWAY}/attempt-response-receiver.ts`,
    find: "if ((head.requestId ?? '') !== call.requestId) return undefined",
    replace: "if (!head.isNotRun && (head.requestId ?? '') !== call.requestId) return undefined",
    faults: ['all engines reject twice']
  },
  {
    name: 'status-taken-for-promise',
    check: 'not-run',
    file: `${GATEWAY}/attempt-response-receiver.ts`,
    find: `if (isNotRunStatus(head.status)) return this.unproven(head.status)
    const status = toForwardable(head.status)`,
    replace: 'const status = head.status as ForwardableStatus',
    faults: ['all engines refuse after running']
  },
  {
    name: 'unmarked-421-taken-for-not-run',
    check: 'once',
    file: `${GATEWAY}/run-evidence.ts`,
    find: 'if (isMarkedNotRun && status >= MIN_FAILURE_STATUS)',
    replace: 'if (status === 421 || (isMarkedNotRun && status >= MIN_FAILURE_STATUS))',
    more: [
      // Engines that count as ended would get no more requests.
      {
        file: `${GATEWAY}/attempt-response-receiver.ts`,
        find: "verdict: head.status === MISDIRECTED_REQUEST_STATUS ? 'ended' : 'shed'",
        replace: "verdict: 'shed'"
      },
      // The retry budget is soon used up by the engines' rejections.
      {
        file: `${GATEWAY}/attempt-policy.ts`,
        find: "return retryOr(state, reason, (refusalReason) => ({ type: 'refuse', reason: refusalReason }))",
        replace: "return { type: 'retry', reason, budgetLeft: 0 }"
      }
    ],
    faults: ['all engines refuse after running']
  },
  {
    name: 'leave-acknowledged-from-memory',
    check: 'leaves',
    file: 'control/program/src/leave-recorder.ts',
    find: 'await this.propose(leave)',
    replace: '',
    faults: ['engine leaves before a kill']
  },
  {
    name: 'entries-behind-a-snapshot-refused',
    check: 'catches-up',
    file: 'control/quorum/src/quorum-node.ts',
    find: 'const isKnown =',
    replace: 'if (message.prevIndex < this.log.snapshotIndex) return this.appended(false, this.commitIndex)\n    const isKnown =',
    more: [
      { file: 'control/quorum/src/replicator.ts', find: 'if (lastIndex > prevIndex) return this.noteMatch(lastIndex)', replace: '' },
      // Members take snapshots at different indices, as those do that have installed one.
      {
        file: 'control/quorum/src/snapshot-trigger.ts',
        find: 'return entries >= snapshotEvery ||',
        replace: "return entries >= ((this.limits as { member?: string }).member === 'control-1' ? snapshotEvery : 6) ||"
      }
    ],
    faults: ['freeze control in a storm']
  },
  ...ENDLESS_MUTATIONS
]
