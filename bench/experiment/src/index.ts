/** Experiments on whole deployments: policies against each other, under the same arrivals and faults. */
export * from './experiment.ts'
export * from './plan.ts'
