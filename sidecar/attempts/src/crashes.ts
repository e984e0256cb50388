/** How attempts report signs of a crash of their endpoint. */

/** One attempt at one life of an endpoint. */
export interface ServedAttempt {
  /** Identifies the life of the endpoint, from one start of its process to the next, in which the attempt began. */
  life: string
  address: string
  requestId: string
  /** Identifies the same request under other ids. */
  fingerprint: string
}

/** Receives the outcomes of attempts that show whether their endpoint is alive. */
export interface AttemptCrashes {
  /** Returns the id of the current life of an endpoint. */
  currentLife: (endpoint: string) => string
  /** Records that the connection broke while the attempt was running. */
  recordBrokenConnection: (attempt: ServedAttempt) => void
  /** Records that nothing listens at the endpoint's address. */
  recordRefusedConnection: (attempt: Pick<ServedAttempt, 'life'>) => void
  /** Records that the attempt ended without a crash. */
  recordSuccess: (attempt: Pick<ServedAttempt, 'fingerprint'>) => void
}
