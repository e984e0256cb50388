/** Decides when a quarantined part of prompts is probed: a single request with it is let through at one box. */
import { type HeldPart } from '@gullwall/routing.quarantine'

/** Delay before the first probe, in ms. It doubles with each probe that crashes an endpoint. */
const FIRST_PROBE_DELAY_MS = 60_000
const MAX_PROBE_DELAY_MS = 30 * 60_000
/** Time for which a box may let a request through, in ms, before another box is chosen: it may have none, or be cut off. */
const PROBE_TIMEOUT_MS = 30_000

export interface ProbeState {
  held: HeldPart
  /** Time since the hold began, since its latest probe failed, or since its present probe began, in ms. */
  ageMs: number
  /** Whether a request with the part has run well since it was quarantined. */
  hasRunWell: boolean
  /** Whether an endpoint has crashed under the part since the present probe began. */
  hasCrashed: boolean
}

export type ProbeStep = { type: 'release' } | { type: 'end-probe', held: HeldPart } | { type: 'probe' }

/** Returns what is done next with a quarantined part; undefined if nothing is due. */
export function chooseProbeStep ({ held, ageMs, hasRunWell, hasCrashed }: ProbeState): ProbeStep | undefined {
  if (hasRunWell) return { type: 'release' }
  const { probe, failedProbes } = held
  if (probe === undefined) {
    const delayMs = Math.min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2 ** failedProbes)
    return ageMs < delayMs ? undefined : { type: 'probe' }
  }
  if (hasCrashed) return { type: 'end-probe', held: { ...held, failedProbes: failedProbes + 1, probe: undefined } }
  return ageMs < PROBE_TIMEOUT_MS ? undefined : { type: 'probe' }
}

/** Begins the next probe of a part at one of the boxes, which take turns; undefined if there is none. */
export function beginProbe (held: HeldPart, boxes: readonly string[]): HeldPart | undefined {
  const number = (held.probe?.number ?? 0) + 1
  const box = [...new Set(boxes)].sort()[(held.failedProbes + number) % Math.max(1, boxes.length)]
  return box === undefined ? undefined : { ...held, probe: { box, number } }
}
