/** Stand-ins of entries that are linked to control processes. */
import { createLogger } from '@gullwall/core.logger'
import { Dialer } from '@gullwall/transport.link'
import { type Message } from '@gullwall/transport.messages'

const LINK_KEY = 'a-shared-key-for-loopback'
const logger = createLogger({ program: 'test', box: 'test', level: 'error', write: () => {} })
const dialers: Dialer[] = []

/** Closes the links of all entries. */
export function closeEntries (): void {
  for (const dialer of dialers.splice(0)) dialer.stop()
}

/** An entry that records the messages it receives, with the address of the sending control process. */
export class Entry {
  readonly received: Array<{ from: string, message: Message }> = []
  private readonly dialers = new Map<string, Dialer>()

  constructor (readonly name: string, dataCentre: string, addresses: readonly string[]) {
    for (const address of addresses) {
      const dialer = new Dialer(address, {
        local: { role: 'entry', name, startId: name, dataCentre },
        sharedKey: LINK_KEY,
        logger,
        revision: () => 0,
        onOpen: () => {},
        onMessage: (_link, message) => this.received.push({ from: address, message }),
        onClose: () => {}
      })
      this.dialers.set(address, dialer)
      dialers.push(dialer)
    }
  }

  get isLinked (): boolean {
    return [...this.dialers.values()].every(({ link }) => link?.isOpen === true)
  }

  send (address: string, message: Message): void {
    this.dialers.get(address)?.link?.send(message)
  }

  /** Closes all links. */
  closeLinks (): void {
    for (const dialer of this.dialers.values()) dialer.stop()
  }
}
