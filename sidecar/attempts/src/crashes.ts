/** How attempts report signs of a crash of their endpoint. */

/** One attempt at one life of an endpoint. */
export interface ServedAttempt {
  /** Identifies the life of the endpoint, from one start of its process to the next, in which the attempt began. */
  life: string
  address: string
  requestId: string
  /** Identifies the same request under other ids. */
  fingerprint: string
  /** The parts of its prompt that may crash endpoints, by name. */
  parts: string[]
  organisation: string
}

/** What an attempt has shown so far. */
export interface AttemptProgress {
  /** When the endpoint began to write, by the monotonic clock; when the attempt began, if it has not. */
  beganAt: number
  /** Whether the endpoint ran on for long after it had begun to write. */
  hasRunWell: boolean
}

/** Receives the outcomes of attempts that show whether their endpoint is alive. */
export interface AttemptCrashes {
  /** Returns the id of the current life of an endpoint. */
  currentLife: (endpoint: string) => string
  /** Records that the connection broke while the attempt was running. */
  recordBrokenConnection: (attempt: ServedAttempt, progress: AttemptProgress) => void
  /** Records that nothing listens at the endpoint's address. */
  recordRefusedConnection: (attempt: Pick<ServedAttempt, 'life'>) => void
  /** Records that the attempt ended without a crash. */
  recordSuccess: (attempt: Pick<ServedAttempt, 'fingerprint'>) => void
  /** Records that the endpoint ran the attempt well: its response is a complete success, or goes on for long. */
  recordGoodRun: (attempt: ServedAttempt, progress: AttemptProgress) => void
}
