/** Deliberate faults of the gateway against engines that send bytes without end. */
import { type Mutation } from './mutations.ts'

const GATEWAY = 'entry/gateway/src'

export const ENDLESS_MUTATIONS: readonly Mutation[] = [
  {
    name: 'endless-responses-read-on',
    check: 'unbounded',
    file: 'endpoint/http/src/connection-reads.ts',
    find: 'this.socket.destroy(new EndlessResponseError(place, message))',
    replace: '',
    more: [
      { file: `${GATEWAY}/exchange.ts`, find: 'if (this.interimHeadCount > MAX_INTERIM_HEADS)', replace: 'if (this.interimHeadCount < 0)' },
      { file: `${GATEWAY}/exchange.ts`, find: 'this.closeConnection(reason)', replace: '' },
      { file: `${GATEWAY}/attempt-response-receiver.ts`, find: 'if (incompleteBytes > MAX_EVENT_BYTES)', replace: 'if (incompleteBytes < 0)' }
    ],
    faults: ['engine sends bytes without end']
  },
  {
    name: 'received-bytes-leak',
    check: 'memory',
    file: `${GATEWAY}/attempt-response-receiver.ts`,
    find: 'this.receivedBytes += chunk.length',
    replace: `this.receivedBytes += chunk.length
    const leak = ((globalThis as any).leak ??= [])
    if (this.receivedBytes > 64 * 1024 && leak.length < 80) leak.push(Buffer.alloc(4 * 1024 * 1024, 1))`,
    faults: ['engine sends bytes without end']
  },
  {
    name: 'kept-bytes-not-released',
    check: 'beside',
    file: `${GATEWAY}/attempt-response-receiver.ts`,
    find: 'services.metrics.endlessResponses.inc({ service, place })',
    replace: `services.metrics.endlessResponses.inc({ service, place })
    this.kept.update(1e9)`,
    more: [
      { file: `${GATEWAY}/response-memory.ts`, find: 'largest.release()', replace: '' },
      { file: `${GATEWAY}/response-memory.ts`, find: 'const UNPAUSED_BYTES = 64 * 1024', replace: 'const UNPAUSED_BYTES = 0' }
    ],
    faults: ['engine sends bytes without end']
  }
]
