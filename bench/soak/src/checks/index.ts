/** All checks of a run. */
import { noIntrusion, refusalsTrue, runsAtMost, unchanged, urgencyByTier, wholeAnswers } from './answers.ts'
import { acknowledgements, catchesUp, inForce, keysDropped, noReturn, nothingLost, readBack } from './configuration.ts'
import { floodsAreClosed, memoryIsBounded } from './endless.ts'
import { coldSpared, crashingIsHeld, crashingPartIsHeld, drainWordIsKept, evacuatedGetNothing, leavingGetNothing, limitIsKept, neighboursAreServed, restIsKept, stayHome } from './engines.ts'
import { retriesAreBounded } from './retries.ts'
import { endsAsAsked, nothingStarves, othersAreServed, recovers, stopsCutNothing } from './service.ts'
import { oneBuild, takenUpGoOn } from './streams.ts'
import { type Check, type CheckInput, type Violation } from './violation.ts'

export * from './violation.ts'
export { RECOVER_MS } from './service.ts'

/** What the programs promise only with parts that they may lack. */
export interface Features { cold: boolean, regions: boolean }

export function checksFor ({ cold, regions }: Features): Check[] {
  return [
    wholeAnswers, oneBuild, takenUpGoOn, runsAtMost, refusalsTrue, unchanged, noIntrusion, urgencyByTier,
    inForce, keysDropped, noReturn, readBack, acknowledgements, nothingLost, catchesUp,
    leavingGetNothing, evacuatedGetNothing, crashingIsHeld, crashingPartIsHeld, neighboursAreServed,
    restIsKept, drainWordIsKept, limitIsKept, retriesAreBounded,
    floodsAreClosed, memoryIsBounded, othersAreServed,
    stopsCutNothing, endsAsAsked, nothingStarves, recovers,
    ...cold ? [coldSpared] : [],
    ...regions ? [stayHome] : []
  ]
}

export function runChecks (checks: readonly Check[], input: CheckInput): Violation[] {
  return checks.flatMap((check) => check(input))
}
