import { setImmediate as nextTurn } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import { EndpointState } from '@gullwall/routing.balancer'
import { type Message } from '@gullwall/transport.messages'
import { type GatewayServices } from '../src/index.ts'
import { WorkExchange } from '../src/work-exchange.ts'

function exchangeWith (endpoint: EndpointState): { exchange: WorkExchange, told: Message[] } {
  const told: Message[] = []
  const services = {
    settings: { box: 'edge-1' },
    view: { all: () => [endpoint], get: () => endpoint, entries: 1, wake: () => {} },
    controlLinks: { sendToOne: (message: Message) => { told.push(message); return true } }
  } as unknown as GatewayServices
  return { exchange: new WorkExchange(services), told }
}

describe('the word of what an entry has under way', () => {
  const endpoint = () => new EndpointState({ incarnation: 'i', service: 's', address: '127.0.0.1:1', dataCentre: 'east', slots: 64 })

  it('goes out at once for a prompt that takes long to read, without any timer', async () => {
    const state = endpoint()
    const { exchange, told } = exchangeWith(state)
    state.begin({ prompt: [], unreadTokens: 5000, urgency: 3, strain: 0 }, performance.now())
    exchange.noteSent(5000)
    await nextTurn()
    expect(told).toMatchObject([{ kind: 'work', works: [{ incarnation: 'i', unread: [{ urgency: 3, tokens: 5000 }], running: 1 }] }])
  })

  it('waits for the next look for a short one', async () => {
    const state = endpoint()
    const { exchange, told } = exchangeWith(state)
    state.begin({ prompt: [], unreadTokens: 500, urgency: 3, strain: 0 }, performance.now())
    exchange.noteSent(500)
    await nextTurn()
    expect(told).toEqual([])
  })
})
