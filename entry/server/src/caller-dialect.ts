/**
 * How callers say what they want besides the chat API: the class, whether a
 * request may be repeated, and its key. Another dialect of callers would replace
 * this module.
 */
import { type IncomingHttpHeaders } from 'node:http'
import { Either, Left, Right } from 'purify-ts'
import { type ClassRecord, type OrganisationRecord, type RecordMap, secretMatches, splitKey } from '@gullwall/config.records'
import { isNotRunStatus } from '@gullwall/core.types'
import { type CallerError } from '@gullwall/entry.answers'

const CLASS_HEADER = 'gullwall-class'
const REPEATABLE_HEADER = 'gullwall-repeatable'
const KEY_HEADER = 'idempotency-key'
const MAX_KEY_CHARACTERS = 200

/** Who calls, and under which class. */
export interface Caller {
  organisationName: string
  organisation: OrganisationRecord
  className: string
  class: ClassRecord
  repeatable: boolean
  /** Whether the caller itself has said that the request may be repeated. */
  isDeclaredRepeatable: boolean
  /** Makes a request that may not be repeated run at most once across resends. */
  idempotencyKey: string | undefined
}

export interface IdentifyOptions {
  records: RecordMap
  /** Whether calls of this kind may be repeated when neither class nor caller forbids it. */
  repeatableByNature: boolean
}

/** Reads the caller from a request's headers. */
export function identify (headers: IncomingHttpHeaders, options: IdentifyOptions): Either<CallerError, Caller> {
  return authenticate(headers, options.records)
    .chain((known) => findClass(headers, known, options.records))
    .chain((known) => readRepeatable(headers, known, options))
}

interface KnownOrganisation {
  organisationName: string
  organisation: OrganisationRecord
}

type KnownClass = KnownOrganisation & Pick<Caller, 'className' | 'class'>

function authenticate (headers: IncomingHttpHeaders, records: RecordMap): Either<CallerError, KnownOrganisation> {
  const bearer = /^Bearer\s+(\S+)$/i.exec(headers.authorization ?? '')
  if (bearer === null) return Left(refusal(401, 'missing_key', 'no key: send "Authorization: Bearer KEY"'))
  const parts = splitKey(bearer[1] ?? '')
  const organisation = parts === undefined ? undefined : records.get('organisation', parts.organisation)
  if (parts === undefined || organisation === undefined || !secretMatches(parts.secret, organisation)) {
    return Left(refusal(401, 'invalid_api_key', 'the key is not known'))
  }
  return Right({ organisationName: parts.organisation, organisation })
}

function findClass (headers: IncomingHttpHeaders, known: KnownOrganisation, records: RecordMap): Either<CallerError, KnownClass> {
  const asked = headers[CLASS_HEADER]
  const className = typeof asked === 'string' ? asked : known.organisation.classes[0] ?? ''
  if (!known.organisation.classes.includes(className)) {
    return Left(refusal(403, 'class_not_allowed', `class ${className} is not allowed; allowed: ${known.organisation.classes.join(', ')}`))
  }
  const found = records.get('class', className)
  if (found === undefined) return Left(refusal(403, 'class_not_found', `class ${className} does not exist any more`))
  return Right({ ...known, className, class: found })
}

function readRepeatable (headers: IncomingHttpHeaders, known: KnownClass, options: IdentifyOptions): Either<CallerError, Caller> {
  const said = headers[REPEATABLE_HEADER]
  if (said !== undefined && said !== 'true' && said !== 'false') {
    return Left(refusal(400, 'bad_header', `${REPEATABLE_HEADER}: found ${JSON.stringify(said)}; allowed: true, false`))
  }
  const key = headers[KEY_HEADER]
  if (typeof key === 'string' && (key === '' || key.length > MAX_KEY_CHARACTERS)) {
    return Left(refusal(400, 'bad_header', `${KEY_HEADER}: allowed: 1 to ${MAX_KEY_CHARACTERS} characters`))
  }
  const byDefault = known.class.repeatable && options.repeatableByNature
  const repeatable = said === undefined ? byDefault : said === 'true'
  return Right({ ...known, repeatable, isDeclaredRepeatable: said === 'true', idempotencyKey: typeof key === 'string' ? key : undefined })
}

/** An error of a request of which nothing has been sent yet. */
export function refusal (status: CallerError['status'], code: string, message: string, retryAfterMs?: number): CallerError {
  const step = 'accept'
  return isNotRunStatus(status) ? { status, code, message, step, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) } : { status, code, message, step, ran: 'no' }
}
