/** Waits until this process has applied a revision that the quorum has confirmed. */
import { type RevisionStore } from '@gullwall/config.spread'
import { GullwallError } from '@gullwall/core.error'

/** Timeout of the wait, in ms. */
const APPLY_TIMEOUT_MS = 700

/** @throws ERR_GULLWALL_NO_QUORUM if the revision is not applied in time */
export async function waitUntilApplied (store: RevisionStore, revision: number, step: string): Promise<void> {
  if (store.revision >= revision) return
  await new Promise<void>((resolve, reject) => {
    const check = () => {
      if (store.revision < revision) return
      clearTimeout(timer)
      unsubscribe()
      resolve()
    }
    const unsubscribe = store.onChange(check)
    const timer = setTimeout(() => {
      unsubscribe()
      reject(new GullwallError('ERR_GULLWALL_NO_QUORUM', `revision ${revision} is not applied here yet`, { step }))
    }, APPLY_TIMEOUT_MS)
  })
}
