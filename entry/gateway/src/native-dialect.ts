/** The product's own headers. */
import { parseNotices } from '@gullwall/endpoint.notices'
import { parsePositiveNumber, firstHeaderValue, filterForwardedHeaders, type CallDialect, type HeaderRules } from './dialect.ts'

const REQUEST_ID = 'x-gullwall-request-id'
const WAIT = 'x-gullwall-wait-ms'
const PROMPT = 'x-gullwall-prompt-parts'
const LENGTH_HINT = 'x-gullwall-length-hint'
const MOST_TOKENS = 'x-gullwall-most-tokens'
const INCARNATION = 'x-gullwall-incarnation'
const ORGANISATION = 'x-gullwall-organisation'
const URGENCY = 'x-gullwall-urgency'
const PREFIX_SOURCE = 'x-gullwall-prefix-source'
const RAN = 'x-gullwall-ran'
const LAST_EVENT = 'last-event-id'

const HEADER_RULES: HeaderRules = {
  neverForwarded: new Set([WAIT, ORGANISATION, URGENCY, INCARNATION, LAST_EVENT, PREFIX_SOURCE, 'authorization']),
  alwaysForwarded: new Set([REQUEST_ID, PROMPT, 'host', 'content-type'])
}

export const nativeDialect: CallDialect = {
  readCall: (headers) => {
    const wait = Number(firstHeaderValue(headers, WAIT))
    return {
      requestId: firstHeaderValue(headers, REQUEST_ID) ?? '',
      waitMs: Number.isFinite(wait) && wait > 0 ? wait : undefined,
      lastEventId: firstHeaderValue(headers, LAST_EVENT),
      prompt: (firstHeaderValue(headers, PROMPT) ?? '').split(',').filter(Boolean).map((part) => {
        const [id = '', tokens = '0'] = part.split(':')
        return { id, tokens: Number(tokens) }
      }),
      output: {
        expectedTokens: parsePositiveNumber(firstHeaderValue(headers, LENGTH_HINT)),
        maxTokens: parsePositiveNumber(firstHeaderValue(headers, MOST_TOKENS))
      },
      key: /^Bearer\s+(\S+)$/i.exec(firstHeaderValue(headers, 'authorization') ?? '')?.[1]
    }
  },
  attemptHeaders: (rawHeaders, facts) => {
    const headers = filterForwardedHeaders(rawHeaders, HEADER_RULES)
    headers.push(WAIT, String(facts.remainingMs), INCARNATION, facts.incarnation, URGENCY, String(facts.urgency))
    if (facts.organisation !== undefined) headers.push(ORGANISATION, facts.organisation)
    if (facts.lastEventId !== undefined) headers.push(LAST_EVENT, facts.lastEventId)
    if (facts.prefixSource !== undefined) headers.push(PREFIX_SOURCE, facts.prefixSource)
    return headers
  },
  readAnswer: (status, headers) => ({
    requestId: firstHeaderValue(headers, REQUEST_ID),
    isFromService: headers[REQUEST_ID] !== undefined,
    isNotRun: firstHeaderValue(headers, RAN) === 'no',
    notices: parseNotices({ status, headers })
  })
}
