/** Guards against a late resume of an earlier response that hides the pause of the present one, whose end then ends the process. */
import { EventEmitter } from 'node:events'
import { type Socket } from 'node:net'
import { expect, it, vi } from 'vitest'
import { ConnectionReads } from '../src/connection-reads.ts'

it('a response that is paused is resumed at the end of its connection, although an earlier one was resumed late', () => {
  const socket = new EventEmitter()
  const reads = new ConnectionReads(socket as Socket)
  reads.watch()
  const [earlier, present] = [0, 1].map(() => ({ pause: vi.fn(), resume: vi.fn() }))
  if (earlier === undefined || present === undefined) throw new Error('no responses')
  reads.pause(earlier)
  reads.pause(present)
  reads.resume(earlier)
  socket.emit('end')
  expect(present.resume).toHaveBeenCalledOnce()
})
