/** The messages by which entries and control keep track of the builds that began streams. */
import { z } from 'zod'
import { MAX_BUILD_LENGTH } from './leases.ts'

const count = z.number().int().min(0)
/** The longest key of a stream, in characters. */
const MAX_KEY_LENGTH = 64
/** The largest number of bindings in one message. */
export const MAX_BINDINGS = 2048

/** The endpoint that brought the first event of a stream, with its build where that is known. */
export const buildBindingSchema = z.object({
  service: z.string(), incarnation: z.string(), build: z.string().max(MAX_BUILD_LENGTH).optional()
})

export const streamBuildMessages = {
  /**
   * An entry tells which builds began its streams. A record has the key of the stream, the index of its binding, and for how much
   * longer the caller may come back, in ms.
   */
  streamBuilds: z.object({
    kind: z.literal('streamBuilds'),
    bindings: z.array(buildBindingSchema),
    records: z.array(z.tuple([z.string().max(MAX_KEY_LENGTH), count, count])).max(MAX_BINDINGS)
  }),
  /** An entry asks which build began a stream that its caller takes up. */
  streamBuildOf: z.object({ kind: z.literal('streamBuildOf'), key: z.string().max(MAX_KEY_LENGTH) }),
  /** The same for a caller that does not name its stream: which build the service has had, if only one for `forMs`. */
  onlyBuildOf: z.object({ kind: z.literal('onlyBuildOf'), service: z.string(), forMs: count }),
  /** What a control process knows of it; `ambiguous` if two streams have the same name. */
  streamBuild: z.object({
    kind: z.literal('streamBuild'), found: z.enum(['known', 'ambiguous', 'unknown']), binding: buildBindingSchema.optional()
  })
}

export type StreamBuildBinding = z.infer<typeof buildBindingSchema>
