/** The metrics of a process's links. */
import { Gauge, type Registry } from '@gullwall/core.metrics'
import { linkTotals } from './link.ts'

export function linkMetrics (registry: Registry): void {
  const total = (name: string, help: string, read: () => number) => {
    const metric = new Gauge({ name, help, registers: [registry], collect: () => { metric.set(read()) } })
  }
  total('gullwall_link_sent_bytes_total', 'Bytes sent on links.', () => linkTotals.bytesSent)
  total('gullwall_link_received_bytes_total', 'Bytes received on links.', () => linkTotals.bytesReceived)
  total('gullwall_link_sent_messages_total', 'Messages sent on links.', () => linkTotals.messagesSent)
  total('gullwall_link_received_messages_total', 'Messages received on links.', () => linkTotals.messagesReceived)
}
