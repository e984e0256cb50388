/** Waits until a revision that a quorum has confirmed is applied in this process. */
import { type RevisionStore } from '@gullwall/config.spread'
import { GullwallError } from '@gullwall/core.error'

/** How long a read waits for that, in ms. */
const APPLY_TIMEOUT_MS = 700

/** @throws ERR_GULLWALL_NO_QUORUM if it is not applied in time */
export async function waitUntilApplied (store: RevisionStore, revision: number, step: string): Promise<void> {
  if (store.revision >= revision) return
  await new Promise<void>((resolve, reject) => {
    const done = () => {
      if (store.revision < revision) return
      clearTimeout(timer)
      unsubscribe()
      resolve()
    }
    const unsubscribe = store.onChange(done)
    const timer = setTimeout(() => {
      unsubscribe()
      reject(new GullwallError('ERR_GULLWALL_NO_QUORUM', `revision ${revision} is not applied here yet`, { step }))
    }, APPLY_TIMEOUT_MS)
  })
}
