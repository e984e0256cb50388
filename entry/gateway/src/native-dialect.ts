/** gullwall's own headers. */
import { parseNotices } from '@gullwall/endpoint.notices'
import { parsePositiveNumber, firstHeaderValue, filterForwardedHeaders, singleHeaderValue, type CallDialect, type HeaderRules } from './dialect.ts'

const REQUEST_ID = 'x-gullwall-request-id'
const WAIT_MS = 'x-gullwall-wait-ms'
const PROMPT_PARTS = 'x-gullwall-prompt-parts'
const LENGTH_HINT = 'x-gullwall-length-hint'
const MAX_TOKENS = 'x-gullwall-most-tokens'
const INCARNATION = 'x-gullwall-incarnation'
const ORGANISATION = 'x-gullwall-organisation'
const URGENCY = 'x-gullwall-urgency'
const PREFIX_SOURCE = 'x-gullwall-prefix-source'
const RAN = 'x-gullwall-ran'
const LAST_EVENT_ID = 'last-event-id'
const RESUMES = 'x-gullwall-resumes'

const HEADER_RULES: HeaderRules = {
  neverForwarded: new Set([WAIT_MS, ORGANISATION, URGENCY, INCARNATION, LAST_EVENT_ID, PREFIX_SOURCE, 'authorization']),
  alwaysForwarded: new Set([REQUEST_ID, PROMPT_PARTS, 'host', 'content-type'])
}

export const nativeDialect: CallDialect = {
  readCall: (headers) => {
    const waitMs = Number(firstHeaderValue(headers, WAIT_MS))
    return {
      requestId: firstHeaderValue(headers, REQUEST_ID) ?? '',
      waitMs: Number.isFinite(waitMs) && waitMs > 0 ? waitMs : undefined,
      lastEventId: firstHeaderValue(headers, LAST_EVENT_ID),
      resumes: firstHeaderValue(headers, RESUMES),
      prompt: (firstHeaderValue(headers, PROMPT_PARTS) ?? '').split(',').filter(Boolean).map((part) => {
        const [id = '', tokens = '0'] = part.split(':')
        return { id, tokens: Number(tokens) }
      }),
      output: {
        expectedTokens: parsePositiveNumber(firstHeaderValue(headers, LENGTH_HINT)),
        maxTokens: parsePositiveNumber(firstHeaderValue(headers, MAX_TOKENS))
      },
      key: /^Bearer\s+(\S+)$/i.exec(firstHeaderValue(headers, 'authorization') ?? '')?.[1]
    }
  },
  attemptHeaders: (rawHeaders, facts) => {
    const headers = filterForwardedHeaders(rawHeaders, HEADER_RULES)
    headers.push(WAIT_MS, String(facts.remainingMs), INCARNATION, facts.incarnation, URGENCY, String(facts.urgency))
    if (facts.organisation !== undefined) headers.push(ORGANISATION, facts.organisation)
    if (facts.lastEventId !== undefined) headers.push(LAST_EVENT_ID, facts.lastEventId)
    if (facts.prefixSource !== undefined) headers.push(PREFIX_SOURCE, facts.prefixSource)
    return headers
  },
  readResponse: (status, headers) => ({
    requestId: singleHeaderValue(headers, REQUEST_ID),
    isFromService: headers[REQUEST_ID] !== undefined,
    isNotRun: singleHeaderValue(headers, RAN) === 'no',
    notices: parseNotices({ status, headers })
  })
}
