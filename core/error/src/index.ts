/**
 * The one error class of the project. Every error says in which step it arose
 * and, where another process took part, which peer that was.
 */

/** Fields of a {@link GullwallError} besides its code and message. */
export interface GullwallErrorOptions {
  /** The step of the work in which the error arose, such as `dispatch` or `log.append`. */
  step: string
  /** The process, box or address on the other side, if one took part. */
  peer?: string
  /** What the reader can do about it. */
  hint?: string
  cause?: unknown
}

/** The form of an error in a log line or in an answer. */
export interface ErrorRecord {
  code: string
  message: string
  step: string
  peer?: string
  hint?: string
  cause?: string
}

export type ErrorCode = `ERR_GULLWALL_${string}`

export class GullwallError extends Error {
  readonly code: ErrorCode
  readonly step: string
  readonly peer: string | undefined
  readonly hint: string | undefined

  constructor (code: ErrorCode, message: string, options: GullwallErrorOptions) {
    super(message, { cause: options.cause })
    this.name = 'GullwallError'
    this.code = code
    this.step = options.step
    this.peer = options.peer
    this.hint = options.hint
  }
}

/** Gives any thrown value as a {@link GullwallError}; one that is already such an error stays as it is. */
export function toGullwallError (thrown: unknown, options: GullwallErrorOptions): GullwallError {
  if (thrown instanceof GullwallError) return thrown
  return new GullwallError('ERR_GULLWALL_UNEXPECTED', messageOf(thrown), { ...options, cause: thrown })
}

/** Gives an error as a plain record for log lines. */
export function errorRecord (thrown: unknown): ErrorRecord {
  const error = toGullwallError(thrown, { step: 'unknown' })
  return {
    code: error.code,
    message: error.message,
    step: error.step,
    peer: error.peer,
    hint: error.hint,
    cause: error.cause === undefined ? undefined : messageOf(error.cause)
  }
}

/** The message of any thrown value. */
export function messageOf (thrown: unknown): string {
  if (!(thrown instanceof Error)) return String(thrown)
  const code = (thrown as NodeJS.ErrnoException).code
  return code !== undefined && !thrown.message.includes(code) ? `${code}: ${thrown.message}` : thrown.message
}
