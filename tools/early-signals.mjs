/**
 * The first lines of each long-running program: they take signals until the program handles them itself (core/kernel). To
 * load a program takes some 0.3 s, and the default of these signals is to end the process.
 */
export const EARLY_SIGNALS = `{
  const early = globalThis[Symbol.for('gullwall.earlySignals')] = { received: [], handlers: {} }
  for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
    process.on(name, early.handlers[name] = () => { early.received.push(name) })
  }
}
`
