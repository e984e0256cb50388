/** Signals that arrived before the program was loaded; the first lines of its bundle took them (tools/early-signals.mjs). */

interface EarlySignals {
  received: NodeJS.Signals[]
  /** By the name of the signal. */
  handlers: Record<string, () => void>
}

const KEY = Symbol.for('gullwall.earlySignals')

/** Gives the signals that came so far, and takes their handlers away; the caller must have set its own before. */
export function takeEarlySignals (): ReadonlySet<NodeJS.Signals> {
  const early = (globalThis as Record<symbol, unknown>)[KEY] as EarlySignals | undefined
  for (const [name, handler] of Object.entries(early?.handlers ?? {})) process.off(name, handler)
  return new Set(early?.received)
}
