/** Carries one request to its answer: attempts, retries and resumes, until the caller has it whole or is told the truth. */
export * from './caller-response.ts'
export * from './attempt.ts'
export * from './request-run.ts'
export * from './timing.ts'
