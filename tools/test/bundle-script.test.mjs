/** Guards against an assertion without a text that keeps a bundled program busy for seconds while the runtime looks for its source. */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { afterAll, expect, it } from 'vitest'
import { bundleScript } from '../bundle-script.mjs'
import { NODE_OPTIONS } from '../node-options.mjs'

/** The shortest latency target of a request on the users' sites. */
const SHORTEST_TARGET_MS = 193

// Inside the repository, so that the entry point finds the libraries.
const folder = mkdtempSync(join(import.meta.dirname, 'bundle-'))
afterAll(() => rmSync(folder, { recursive: true }))

it('a failed assertion of the HTTP client in a bundle costs less than the shortest latency target', async () => {
  const entryPoint = join(folder, 'entry.ts')
  // The client's assertion that the message fits its state fails where a request is aborted from the callback for its last data.
  writeFileSync(entryPoint, `
    import { createServer } from 'node:net'
    import { Pool } from 'undici'
    import { createGateway } from '@gullwall/entry.gateway'
    import { platformApi } from '@gullwall/platform.adapter'
    const BODY_BYTES = 70_000
    const server = createServer((socket) => {
      socket.once('data', () => socket.end('HTTP/1.1 503 Busy\\r\\nConnection: close\\r\\nContent-Length: ' + BODY_BYTES + '\\r\\n\\r\\n' + 'x'.repeat(BODY_BYTES)))
    }).listen(0, '127.0.0.1', () => {
      const pool = new Pool('http://127.0.0.1:' + server.address().port)
      let bytes = 0
      let abortedAt = 0
      pool.dispatch({ method: 'GET', path: '/', headersTimeout: 0 }, {
        onRequestStart: () => {},
        onResponseStart: () => {},
        onResponseData: (controller, chunk) => {
          bytes += chunk.length
          if (bytes < BODY_BYTES || abortedAt > 0) return
          abortedAt = performance.now()
          controller.abort(new Error('over the limit'))
          setImmediate(() => {
            console.log(JSON.stringify({ tookMs: performance.now() - abortedAt, programs: typeof createGateway + typeof platformApi }))
            process.exit()
          })
        },
        onResponseEnd: () => {},
        onResponseError: () => {}
      })
    })
  `)
  const outfile = join(folder, 'bundle.cjs')
  await bundleScript(entryPoint, outfile)
  const { tookMs, programs } = JSON.parse(execFileSync(process.execPath, [...NODE_OPTIONS.gateway, outfile], { encoding: 'utf8' }))
  console.log(`${Math.round(tookMs)} ms`)
  expect(programs).toBe('functionfunction')
  expect(tookMs).toBeLessThan(SHORTEST_TARGET_MS)
}, 120_000)
