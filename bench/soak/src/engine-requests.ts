/** What an engine reads from a request. */
import { type IncomingMessage } from 'node:http'

/** Headers that a gateway sets, as engines see them. */
const OWN_HEADERS = ['x-gullwall-incarnation', 'x-gullwall-organisation', 'x-gullwall-urgency', 'x-gullwall-prefix-source', 'x-gullwall-wait-ms']
/** What callers put into headers that they have no business to set. */
export const SMUGGLED = '7331'

export function headerOf (request: IncomingMessage, name: string): string {
  return String(request.headers[name] ?? '')
}

/** The headers whose value came from a caller although only a gateway may set them. */
export function smuggledIn (request: IncomingMessage): string[] {
  return Object.entries(request.headers)
    .filter(([name, value]) => OWN_HEADERS.includes(name.replaceAll('_', '-')) && String(value).includes(SMUGGLED))
    .map(([name]) => name)
}

export function isStreamPath (path: string): boolean {
  return /^\/(draft|scan)\//.test(path)
}
