/** How the starts of an endpoint are told apart. */
import { type Lease } from '@gullwall/transport.messages'

/**
 * Names one start of an endpoint. One that says when it was born may start again under its name; one that does not has
 * another name with each start.
 */
export function lifeOf (name: string, born: number | undefined): Pick<Lease, 'incarnation' | 'life'> {
  return born === undefined ? { incarnation: name } : { incarnation: `${name}@${born}`, life: { name, born } }
}
