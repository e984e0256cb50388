/** What attempts tell of crashes of the endpoint that runs them. */

/** One attempt at one life of an endpoint. */
export interface ServedAttempt {
  /** Names the life of the endpoint in which the attempt began. */
  life: string
  address: string
  requestId: string
  /** Knows the request again under another id. */
  fingerprint: string
}

/** Told how attempts end, as far as that shows whether their endpoint lives. */
export interface AttemptCrashes {
  /** Names the life that an endpoint has now. */
  lifeOf: (endpoint: string) => string
  /** The connection broke while the attempt was running. */
  noteBroken: (attempt: ServedAttempt) => void
  /** Nothing listens at the endpoint's address. */
  noteRefused: (attempt: Pick<ServedAttempt, 'life'>) => void
  /** The endpoint has answered, and lives. */
  noteRanWell: (attempt: Pick<ServedAttempt, 'fingerprint'>) => void
}
