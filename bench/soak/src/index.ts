/** Runs the real programs under faults from outside and checks what callers, engines and the operator see. */
export { FAULTS, type FaultKind } from './faults.ts'
export { MUTATIONS, type Mutation } from './mutations.ts'
export { mutate } from './build.ts'
export { prove, type Proof } from './prove.ts'
export { soak, type SoakOptions, type Verdict } from './soak.ts'
