/** The typed messages of the links, each with a schema that is checked on arrival. */
import { z } from 'zod'
import { leaseSchema, limitReportSchema, type lifeSchema } from './leases.ts'
import { partAtCrashSchema, quarantineMessages } from './quarantine.ts'
import { streamBuildMessages } from './stream-builds.ts'

export * from './leases.ts'
export * from './quarantine.ts'
export * from './stream-builds.ts'

const count = z.number().int().min(0)
const labels = z.record(z.string(), z.string())

export const endpointDescriptionSchema = z.object({
  name: z.string(), kind: z.enum(['engine', 'service']), serves: z.string(), labels
})

export const endpointLoadSchema = z.object({
  name: z.string(),
  inFlight: count,
  limit: count,
  spare: count,
  tokenGapMs: z.number(),
  firstTokenMs: z.number(),
  failuresInRow: count,
  reportedInFlight: count,
  preemptableTier: z.number().int(),
  /** For how much longer the endpoint wants nothing, by its own word, in ms; none from sidecars of before. */
  backOffMs: z.number().min(0).optional()
})

/** One sidecar as control and its peers know it. */
export const memberSchema = z.object({
  box: z.string(),
  dataCentre: z.string(),
  startId: z.string(),
  /** Where its HTTP and its links listen. */
  address: z.string(),
  leaving: z.boolean(),
  /** What it serves, so that an entry can link to a subset for each model. */
  serves: z.array(z.string())
})

/** Waiting work of one class at one entry for endpoints of one sidecar. */
export const demandRowSchema = z.object({
  class: z.string(),
  tier: count,
  /** The least share of grants that the class gets while it waits. */
  floor: z.number(),
  /** Requests waiting. */
  count,
  /** Organisations among them, which weighs one entry against another. */
  organisations: count,
  /** Endpoints of this sidecar that may serve it; none named means all of them. */
  endpoints: z.array(z.string())
})

/** What requests hold of an engine's memory. */
export const memoryUseSchema = z.object({
  /** Tokens that they share with nobody, read and to come. */
  tokens: count,
  /** Their shared parts, each as often as it is shared. */
  sharedTokens: count,
  /** Requests with shared parts. */
  sharing: count,
  /** A bit for each subject, by its hash. */
  subjects: z.tuple([count, count])
})

/** What one entry, or several together, have under way at one endpoint. */
export const loadSummarySchema = z.object({
  incarnation: z.string(),
  /** Prompt tokens that were sent there and are probably not read yet, by urgency. */
  unread: z.array(z.object({ urgency: count, tokens: count })),
  /** Requests that run there. */
  running: count,
  /** How little their streams bear that prompts are read beside them, added up. */
  strain: z.number(),
  /** Streams there that bear short pauses only and read little themselves. */
  sensitive: count,
  /** Entries that could not connect there lately, or met another process at its address. */
  unreachable: count,
  /** What they hold of its memory; none from processes of before, and where nothing is held. */
  memory: memoryUseSchema.optional()
})

/** Parts of prompts that one entry has sent to one endpoint, which keeps them from then on. */
export const holdingSchema = z.object({
  incarnation: z.string(),
  parts: z.array(z.object({ id: z.string(), tokens: count }))
})

/** What an entry would send to one endpoint that gets requests under a grant only: it is cold, or has named a limit. */
export const grantRequestSchema = z.object({
  incarnation: z.string(),
  service: z.string(),
  /** How many requests it could send within the use of a grant. */
  requests: count,
  /** The limit that the entry has heard of, in requests a second; none where it has heard of none. */
  perSecond: z.number().min(0).optional(),
  /** Whether the endpoint is not cold, as the entry knows; none from processes that ask for cold endpoints only. */
  isWarm: z.boolean().optional()
})

/** Leave to send requests to such an endpoint. */
export const grantSchema = z.object({
  incarnation: z.string(),
  /** How many requests may be sent; 0 where there is no leave now. */
  requests: count,
  /** Within which time of asking they are sent, in ms; or, without leave, after which time to ask again. */
  withinMs: z.number().min(0),
  /** The limit that was held to, in requests a second; none from processes that do not know of limits. */
  perSecond: z.number().min(0).optional()
})

/** What an entry saw of how an endpoint reads prompts, and of how its attempts ended there. */
export const observationSchema = z.object({
  incarnation: z.string(),
  /** Pauses of streams there while it read, in ms. */
  pauses: z.array(z.number()),
  reads: z.array(z.object({ tokens: count, aheadTokens: count, tookMs: z.number() })),
  /** Attempts that it answered well, and such that it took and failed; none where it is not said. */
  good: count.optional(),
  failed: count.optional()
})

/** What was learnt of how an endpoint reads prompts, and of how attempts end there. */
export const readingSchema = z.object({
  incarnation: z.string(),
  tokensPerMs: z.number().positive(),
  pauseMs: z.number().positive(),
  /** The share of attempts that it took and failed lately, from 0 to 1; none where it is not said. */
  failureShare: z.number().min(0).max(1).optional()
})

/** Requests of one organisation that began to run, with their first token where an engine runs them. */
export const usageCountSchema = z.object({ organisation: z.string(), begun: count })

/** Counts of one window of the wall clock. */
export const usageWindowSchema = z.object({ window: count, counts: z.array(usageCountSchema) })

/** Counts of one start of an entry. */
export const usageSourceSchema = z.object({ source: z.string(), counts: z.array(usageCountSchema) })

/**
 * An endpoint that has crashed, and the requests that one entry had running there, by fingerprint, with the parts of their prompts. No
 * parts from processes that do not know of them.
 */
export const crashSchema = z.object({ endpoint: z.string(), requests: z.array(z.string()), parts: z.array(partAtCrashSchema).optional() })

export const recordChangeSchema = z.object({ key: z.string(), value: z.string().nullable() })

/** One entry of the replicated log. */
export const logEntrySchema = z.object({ index: count, term: count, data: z.string() })

/** The changes of one accepted operation. */
export const revisionSchema = z.object({ revision: count, changes: z.array(recordChangeSchema) })

export const MESSAGE_SCHEMAS = {
  // Any process to any other.
  heartbeat: z.object({ kind: z.literal('heartbeat'), revision: count }),
  /** Revisions that follow each other; `base` is the revision before the first. */
  revisions: z.object({ kind: z.literal('revisions'), base: count, revisions: z.array(revisionSchema) }),
  /** A part of a whole copy of the records. */
  snapshot: z.object({
    kind: z.literal('snapshot'), revision: count, part: count, last: z.boolean(), entries: z.array(z.tuple([z.string(), z.string()]))
  }),

  // Entry to sidecar.
  demand: z.object({ kind: z.literal('demand'), rows: z.array(demandRowSchema) }),
  pass: z.object({ kind: z.literal('pass'), offerId: z.string() }),
  /** Asks for a slot of an endpoint at the cost of a stream of a lower tier. */
  preempt: z.object({ kind: z.literal('preempt'), endpoint: z.string(), class: z.string(), tier: count }),
  revoke: z.object({ kind: z.literal('revoke'), attemptId: z.string() }),

  // Sidecar to entry.
  endpoints: z.object({ kind: z.literal('endpoints'), endpoints: z.array(endpointDescriptionSchema), leaving: z.boolean() }),
  load: z.object({ kind: z.literal('load'), endpoints: z.array(endpointLoadSchema) }),
  offer: z.object({
    kind: z.literal('offer'), offerId: z.string(), endpoint: z.string(), class: z.string(), tier: count, floor: z.boolean()
  }),
  revoked: z.object({ kind: z.literal('revoked'), state: z.enum(['never-started', 'started', 'finished']) }),

  // Sidecar and entry to control, and back.
  announce: z.object({ kind: z.literal('announce'), member: memberSchema }),
  members: z.object({ kind: z.literal('members'), whole: z.boolean(), present: z.array(memberSchema), gone: z.array(z.string()) }),
  inForce: z.object({ kind: z.literal('inForce'), processes: z.array(z.object({ process: z.string(), revision: count })) }),
  confirm: z.object({ kind: z.literal('confirm') }),
  /** `index` is the index of the log up to which the leader has applied; none from processes of before. */
  confirmed: z.object({ kind: z.literal('confirmed'), revision: count, index: count.optional() }),
  claim: z.object({ kind: z.literal('claim'), key: z.string(), requestId: z.string(), holdMs: count }),
  settle: z.object({ kind: z.literal('settle'), key: z.string(), requestId: z.string(), outcome: z.enum(['no', 'partly', 'yes', 'unknown']) }),
  claimed: z.object({ kind: z.literal('claimed'), granted: z.boolean(), holder: z.string(), outcome: z.string() }),
  /** Leases that a control process knows; as a request it is answered by `done` once they are noted and passed on. */
  leases: z.object({ kind: z.literal('leases'), leases: z.array(leaseSchema) }),
  /** The control processes to link to, and how many entries share the deployment's budgets. */
  controls: z.object({ kind: z.literal('controls'), addresses: z.array(z.string()), entries: count }),
  /** A control process that is not a member asks to become one. */
  join: z.object({ kind: z.literal('join'), member: z.string(), address: z.string(), incarnation: z.string() }),
  /** What an entry has under way, all of it. Told to one control process, which tells it what the others have. */
  work: z.object({
    kind: z.literal('work'),
    works: z.array(loadSummarySchema),
    /** What it has sent since it last told. */
    holdings: z.array(holdingSchema),
    /** What it has seen since it last told. */
    observations: z.array(observationSchema),
    /** False where it tells another control process from now on. */
    listens: z.boolean()
  }),
  /**
   * Work added up by endpoint: to a peer that of the entries which tell the sender, to an entry that of all others. What is
   * not named has not changed, but for a whole word.
   */
  workSums: z.object({
    kind: z.literal('workSums'),
    whole: z.boolean(),
    /** From how many peers the sender has heard lately; their entries are in the sums. */
    peers: count,
    works: z.array(loadSummarySchema),
    holdings: z.array(holdingSchema)
  }),
  /** What control has learnt from the observations of its entries; only what has changed. */
  readings: z.object({ kind: z.literal('readings'), readings: z.array(readingSchema) }),
  /** What an entry has counted, as totals of each window; counts that are not named have not changed since it last told. */
  usage: z.object({ kind: z.literal('usage'), windows: z.array(usageWindowSchema) }),
  /** Asks a peer for what its entries have told of one window. */
  usageOf: z.object({ kind: z.literal('usageOf'), window: count }),
  usageParts: z.object({ kind: z.literal('usageParts'), sources: z.array(usageSourceSchema) }),
  /**
   * An entry asks for leave to send to endpoints that are cold or have named a limit; a control process that does not grant passes
   * it to the one that does.
   */
  coldAsk: z.object({ kind: z.literal('coldAsk'), entry: z.string(), wishes: z.array(grantRequestSchema) }),
  coldGranted: z.object({ kind: z.literal('coldGranted'), grants: z.array(grantSchema) }),
  /** An entry tells of crashed endpoints, and of requests that ran well after they had been running at one; answered by `done`. */
  crashes: z.object({ kind: z.literal('crashes'), crashes: z.array(crashSchema), ranWell: z.array(z.string()) }),
  /** An entry tells of endpoints that said in an answer that they drain, by incarnation. */
  draining: z.object({ kind: z.literal('draining'), incarnations: z.array(z.string()) }),
  /** An entry tells what endpoints have said of their limits. */
  limits: z.object({ kind: z.literal('limits'), limits: z.array(limitReportSchema.extend({ incarnation: z.string() })) }),
  ...quarantineMessages,
  ...streamBuildMessages,
  failed: z.object({ kind: z.literal('failed'), code: z.string(), message: z.string() }),

  // Among control processes: the quorum protocol. `to` is the incarnation that the sender takes the receiver for.
  whoAreYou: z.object({ kind: z.literal('whoAreYou') }),
  iAm: z.object({ kind: z.literal('iAm'), member: z.string(), incarnation: z.string(), formed: z.boolean(), mayFound: z.boolean() }),
  vote: z.object({
    kind: z.literal('vote'),
    to: z.string(),
    term: count,
    candidate: z.string(),
    lastIndex: count,
    lastTerm: count,
    prevote: z.boolean(),
    handover: z.boolean()
  }),
  voted: z.object({ kind: z.literal('voted'), term: count, granted: z.boolean() }),
  append: z.object({
    kind: z.literal('append'),
    to: z.string(),
    term: count,
    leader: z.string(),
    prevIndex: count,
    prevTerm: count,
    commit: count,
    entries: z.array(logEntrySchema)
  }),
  /** `takesSnapshotParts` is not set by members that know only `install`. */
  appended: z.object({
    kind: z.literal('appended'), term: count, ok: z.boolean(), lastIndex: count, takesSnapshotParts: z.boolean().optional()
  }),
  /** A part of the leader's snapshot, for members that know no `snapshotPart`. */
  install: z.object({
    kind: z.literal('install'),
    to: z.string(),
    term: count,
    leader: z.string(),
    /** The index of the snapshot, which tells its parts from those of another one; none from processes of before. */
    index: count.optional(),
    /** Where the part begins, in UTF-16 units. */
    offset: count,
    last: z.boolean(),
    /** A part of the snapshot file's text. */
    data: z.string()
  }),
  /** A part of the leader's snapshot file. */
  snapshotPart: z.object({
    kind: z.literal('snapshotPart'),
    to: z.string(),
    term: count,
    leader: z.string(),
    /** The index of the snapshot, which tells its parts from those of another one. */
    index: count,
    /** Where the part begins, in bytes. */
    offset: count,
    /** The length of the whole snapshot, in bytes. */
    size: count,
    data: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
    /** SHA-256 of the whole snapshot, in hexadecimal; with the last part only. */
    digest: z.string().optional()
  }),
  takeOver: z.object({ kind: z.literal('takeOver'), to: z.string(), term: count }),
  propose: z.object({ kind: z.literal('propose'), data: z.string() }),
  proposed: z.object({ kind: z.literal('proposed'), index: count, result: z.string() }),
  readIndex: z.object({ kind: z.literal('readIndex') }),
  done: z.object({ kind: z.literal('done') })
}

export type MessageKind = keyof typeof MESSAGE_SCHEMAS
export type MessageOf<Kind extends MessageKind> = z.infer<(typeof MESSAGE_SCHEMAS)[Kind]>
export type Message = { [Kind in MessageKind]: MessageOf<Kind> }[MessageKind]
export type Member = z.infer<typeof memberSchema>
export type LoadSummary = z.infer<typeof loadSummarySchema>
export type MemoryUse = z.infer<typeof memoryUseSchema>
export type UnreadTokens = LoadSummary['unread'][number]
export type Holding = z.infer<typeof holdingSchema>
export type GrantRequest = z.infer<typeof grantRequestSchema>
export type Grant = z.infer<typeof grantSchema>
export type Observation = z.infer<typeof observationSchema>
export type Reading = z.infer<typeof readingSchema>
export type UsageCount = z.infer<typeof usageCountSchema>
export type UsageWindow = z.infer<typeof usageWindowSchema>
export type UsageSource = z.infer<typeof usageSourceSchema>
export type LimitReport = z.infer<typeof limitReportSchema>
export type Lease = z.infer<typeof leaseSchema>
export type Life = z.infer<typeof lifeSchema>
export type DemandRow = z.infer<typeof demandRowSchema>
export type LogEntry = z.infer<typeof logEntrySchema>
export type Revision = z.infer<typeof revisionSchema>

/** What the check of an arriving message gives. */
export type ParsedMessage =
  | { ok: true, message: Message }
  | { ok: false, reason: 'unknown' | 'malformed' }

/** Checks a decoded message. Unknown kinds are told from malformed ones: a newer peer may send the first. */
export function parseMessage (value: unknown): ParsedMessage {
  const kind = (value as { kind?: unknown } | null)?.kind
  if (typeof kind !== 'string') return { ok: false, reason: 'malformed' }
  if (!Object.hasOwn(MESSAGE_SCHEMAS, kind)) return { ok: false, reason: 'unknown' }
  const result = MESSAGE_SCHEMAS[kind as MessageKind].safeParse(value)
  return result.success ? { ok: true, message: result.data as Message } : { ok: false, reason: 'malformed' }
}
