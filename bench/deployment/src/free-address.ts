/** Addresses on loopback that nobody uses at the moment. */
import { createServer } from 'node:net'

export async function freeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  await new Promise((resolve) => server.close(resolve))
  if (address === null || typeof address === 'string') throw new Error('no address')
  return `127.0.0.1:${address.port}`
}

export async function freeAddresses (count: number): Promise<string[]> {
  return await Promise.all(Array.from({ length: count }, freeAddress))
}
