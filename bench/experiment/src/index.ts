/** Experiments on whole deployments: policies against each other, under the same arrivals and faults. */
export * from './choice.ts'
export * from './experiment.ts'
export * from './plan.ts'
