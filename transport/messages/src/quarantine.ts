/** Messages about parts of prompts under which endpoints may crash. Processes of an older build ignore them. */
import { z } from 'zod'

/** A part that was running at a crash: its name, the organisation of a request with it, and its position in the prompt. */
export const partAtCrashSchema = z.tuple([z.string(), z.string(), z.number().int().min(0)])

/** A run of a request with a part that went well; see routing/quarantine. */
export const partRunSchema = z.object({ part: z.string(), organisation: z.string(), isRecent: z.boolean() })

export const quarantineMessages = {
  /** Control tells entries and sidecars which parts may crash endpoints, all of them, with the age of the first crash of each in ms. */
  suspectParts: z.object({
    kind: z.literal('suspectParts'), suspects: z.array(z.object({ part: z.string(), sinceMs: z.number().min(0) }))
  }),
  /** An entry or a sidecar tells control which suspected or held parts ran well. */
  partRuns: z.object({ kind: z.literal('partRuns'), runs: z.array(partRunSchema) })
}
