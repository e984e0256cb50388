/** The state machine of control: applies commands in the order of the log. */
import { checkReferences, RecordMap, type RecordChange } from '@gullwall/config.records'
import { type Mistake } from '@gullwall/config.checker'
import { NO_PART_EVIDENCE, type EvidenceSnapshot, type PartEvidenceSnapshot } from '@gullwall/routing.quarantine'
import { Claims } from './claims.ts'
import {
  DOCUMENT_KEY, type ApplyCommand, type ApplyResult, type ClaimResult, type Command, type Difference, type DocumentCommand,
  type DocumentResult, type EvacuateCommand, type EvacuationResult, type HistoryEntry, type Leave, type ScalingOrder, type ScalingResult,
  type QuarantineResult, type StoredDocument, type UsageReport
} from './commands.ts'
import { decideEvacuation } from './evacuations.ts'
import { Quarantine } from './quarantine.ts'
import { Leaves, type LeavesSnapshot } from './leaves.ts'
import { ScalingOrders } from './scaling-orders.ts'
import { UsageReports } from './usage-reports.ts'

/** How many answers are remembered for operations that are sent again. */
const MAX_REMEMBERED_OPERATIONS = 20_000
const MAX_HISTORY = 1000

export interface ControlStateOptions {
  /** Where the records are held; the process serves its readers from the same map. */
  records?: RecordMap
  /** Told of each accepted operation, in order. */
  onAccepted?: (revision: number, changes: readonly RecordChange[]) => void
  /** Told when the whole state was replaced by a snapshot. */
  onRestored?: () => void
  /** Told of endpoints that leave: of each once, and of all when the whole state was replaced. */
  onLeaves?: (leaves: readonly Leave[]) => void
}

type CommandResult = (
  ApplyResult | ClaimResult | DocumentResult | UsageReport | EvacuationResult | ScalingResult | QuarantineResult | Record<string, never>
)

const NO_EVIDENCE: EvidenceSnapshot = { crashes: [], held: [], suspected: [], isJudged: true }

/** What a snapshot holds. */
interface Dump {
  revision: number
  records: Array<[string, string]>
  operations: Array<[string, ApplyResult]>
  history: HistoryEntry[]
  claims: object
  /** Missing in snapshots of processes that did not report usage. */
  usageReports?: UsageReport[]
  /** Missing in snapshots of processes that ordered no endpoints. */
  scalingOrders?: ScalingOrder[]
  /** Missing in snapshots of processes that held no requests for crashes. */
  crashEvidence?: EvidenceSnapshot
  /** Missing in snapshots of processes that held no parts of prompts. */
  partEvidence?: PartEvidenceSnapshot
  /** Missing in snapshots of processes that kept no leaves. */
  leaves?: LeavesSnapshot
}

export class ControlState {
  readonly records: RecordMap
  readonly claims = new Claims()
  readonly usageReports = new UsageReports()
  readonly scalingOrders = new ScalingOrders()
  readonly leaves = new Leaves()
  readonly quarantine = new Quarantine((change) => this.put(change), () => this.records)
  revision = 0
  private operations = new Map<string, ApplyResult>()
  private past: HistoryEntry[] = []

  constructor (private readonly options: ControlStateOptions = {}) {
    this.records = options.records ?? new RecordMap()
  }

  /** The newest accepted operations, oldest first. */
  get history (): readonly HistoryEntry[] {
    return this.past
  }

  apply (index: number, text: string): string {
    return JSON.stringify(this.run(index, JSON.parse(text) as Command))
  }

  snapshot (): string {
    const dump: Dump = {
      revision: this.revision,
      records: [...this.records.entries()],
      operations: [...this.operations],
      history: this.past,
      claims: this.claims.dump(),
      usageReports: this.usageReports.dump(),
      scalingOrders: this.scalingOrders.dump(),
      crashEvidence: this.quarantine.evidence.createSnapshot(),
      partEvidence: this.quarantine.partEvidence.createSnapshot(),
      leaves: this.leaves.createSnapshot()
    }
    return JSON.stringify(dump)
  }

  restore (snapshot: string): void {
    const dump = JSON.parse(snapshot) as Dump
    this.revision = dump.revision
    this.records.replace(dump.records)
    this.operations = new Map(dump.operations)
    this.past = dump.history
    this.claims.restore(dump.claims)
    this.usageReports.restore(dump.usageReports ?? [])
    this.scalingOrders.restore(dump.scalingOrders ?? [])
    this.quarantine.evidence.restore(dump.crashEvidence ?? NO_EVIDENCE)
    this.quarantine.partEvidence.restore(dump.partEvidence ?? NO_PART_EVIDENCE)
    this.leaves.restore(dump.leaves)
    this.options.onRestored?.()
    this.options.onLeaves?.(this.leaves.all())
  }

  private run (index: number, command: Command): CommandResult {
    switch (command.type) {
      case 'apply': return this.runApply(command)
      case 'claim': return this.claims.claim(command)
      case 'document': return this.runDocument(command)
      case 'settle':
        this.claims.settle(command)
        return {}
      case 'decide-usage': return this.usageReports.decide(command)
      case 'usage-delivered':
        this.usageReports.noteDelivered(command)
        return {}
      case 'evacuate': return this.runEvacuate(command)
      case 'decide-scaling': return this.scalingOrders.decide(command)
      case 'note-crashes':
        this.recordLeaves(index, command.leaves ?? [])
        return this.quarantine.note(command)
      case 'judge-crashes': return this.quarantine.judge()
      case 'forget-crashes': return this.quarantine.forget(command)
    }
  }

  private recordLeaves (index: number, leaves: readonly Leave[]): void {
    const news = this.leaves.record(index, leaves)
    if (news.length > 0) this.options.onLeaves?.(news)
  }

  private runApply (command: ApplyCommand): ApplyResult {
    const known = this.operations.get(command.operationId)
    if (known !== undefined) return known
    const result = this.decide(command)
    if (result.type === 'accepted') this.accept(command, result.revision)
    this.remember(command.operationId, result)
    return result
  }

  /** The routing document that holds, if there is one. */
  get document (): StoredDocument | undefined {
    const text = this.records.text(DOCUMENT_KEY)
    return text === undefined ? undefined : JSON.parse(text) as StoredDocument
  }

  private runDocument ({ version, text }: DocumentCommand): DocumentResult {
    const held = this.document?.version
    if (held !== undefined && held >= version) return { taken: false, version: held }
    const stored: StoredDocument = { version, text }
    this.put({ key: DOCUMENT_KEY, value: JSON.stringify(stored) })
    return { taken: true, version }
  }

  private runEvacuate (command: EvacuateCommand): EvacuationResult {
    const { result, change } = decideEvacuation(this.records, command)
    if (change !== undefined) this.put(change)
    return result
  }

  /** Puts a record in force that is no operation of the history. */
  private put (change: RecordChange): void {
    this.records.apply([change])
    this.revision += 1
    this.options.onAccepted?.(this.revision, [change])
  }

  private decide (command: ApplyCommand): ApplyResult {
    const { expectedRevision } = command
    if (expectedRevision !== null && expectedRevision !== this.revision) return this.conflict(expectedRevision)
    const mistakes = [...checkReferences(command.changes, this.records), ...this.checkDeletions(command.changes)]
    if (mistakes.length > 0) return { type: 'invalid', mistakes }
    return { type: 'accepted', revision: this.revision + 1 }
  }

  /** Names the operation that was first, and all that has changed since the expected revision. */
  private conflict (expectedRevision: number): ApplyResult {
    const since = this.past.filter((entry) => entry.revision > expectedRevision)
    const winner = since[0] ?? this.past.at(-1)
    return {
      type: 'conflict',
      revision: this.revision,
      operationId: winner?.operationId ?? '',
      operator: winner?.operator ?? '',
      difference: since.flatMap((entry) => entry.difference)
    }
  }

  private accept (command: ApplyCommand, revision: number): void {
    const difference = differenceOf(command.changes, this.records)
    this.quarantine.forgetReleasedParts(command.changes)
    this.records.apply(command.changes)
    this.revision = revision
    this.past.push({ revision, operationId: command.operationId, operator: command.operator, at: command.at, difference })
    if (this.past.length > MAX_HISTORY) this.past = this.past.slice(-MAX_HISTORY)
    this.options.onAccepted?.(revision, command.changes)
  }

  private remember (operationId: string, result: ApplyResult): void {
    this.operations.set(operationId, result)
    if (this.operations.size <= MAX_REMEMBERED_OPERATIONS) return
    const oldest = this.operations.keys().next().value
    if (oldest !== undefined) this.operations.delete(oldest)
  }

  /** A record that others refer to can't be deleted. */
  private checkDeletions (changes: readonly RecordChange[]): Mistake[] {
    const deleted = changes.filter((change) => change.value === null).map((change) => change.key)
    if (deleted.length === 0) return []
    const remaining = [...this.records.entries()].map(([key, value]) => ({ key, value }))
      .filter(({ key }) => !changes.some((change) => change.key === key))
    return checkReferences([...remaining, ...changes], this.records)
      .filter((mistake) => deleted.some((key) => mistake.found.endsWith(` ${key}`)))
  }
}

function differenceOf (changes: readonly RecordChange[], records: RecordMap): Difference[] {
  return changes.map(({ key, value }) => ({ key, before: records.text(key) ?? null, after: value }))
}
