import { createServer } from 'node:net'
import { readFileSync } from 'node:fs'
import { expect, it, vi } from 'vitest'
import { freeAddresses } from '@gullwall/bench.deployment'

const EPHEMERAL_FIRST = 32_768

/** The first port that the system gives away by itself. */
function firstEphemeralPort (): number {
  try {
    return Number(readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8').split(/\s+/)[0])
  } catch {
    return EPHEMERAL_FIRST
  }
}

it('ports are distinct, free, and none that the system gives away meanwhile', async () => {
  const addresses = await freeAddresses(20)
  expect(new Set(addresses).size).toBe(20)
  const ports = addresses.map((address) => Number(address.split(':')[1]))
  expect(Math.max(...ports)).toBeLessThan(firstEphemeralPort())
})

it('a port that is in use is passed over', async () => {
  const [address = ''] = await freeAddresses(1)
  const port = Number(address.split(':')[1])
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve))
  try {
    // So many that the search comes round.
    expect(await freeAddresses(98)).not.toContain(address)
  } finally {
    server.close()
  }
})

it('two processes that would look in the same range do not', async () => {
  const hundreds = async (): Promise<Set<number>> => {
    vi.resetModules()
    const fresh = await import('@gullwall/bench.deployment')
    const addresses = await fresh.freeAddresses(5)
    return new Set(addresses.map((address) => Math.floor(Number(address.split(':')[1]) / 100)))
  }
  const first = await hundreds()
  const second = await hundreds()
  expect([...first].filter((hundred) => second.has(hundred))).toEqual([])
})
