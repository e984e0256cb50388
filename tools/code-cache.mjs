/**
 * Makes the code cache of a bundle: what V8 has compiled after the bundle was loaded once. A process that starts with it
 * compiles nothing. V8 takes a cache only with the options that it was made with. The loader also opens the addresses of its
 * command line before it loads the bundle, which takes most of a start.
 */
import { execFileSync } from 'node:child_process'
import { rmSync, writeFileSync } from 'node:fs'
import { EARLY_SIGNALS } from './early-signals.mjs'

const LOADER = `'use strict'
${EARLY_SIGNALS}const { readFileSync } = require('node:fs')
const { dirname, join } = require('node:path')
const { Script } = require('node:vm')
const { wrap } = require('node:module')
const { createServer } = require('node:net')

const filename = join(__dirname, 'NAME.bundle.cjs')
const cacheFile = join(__dirname, 'NAME.cache')

function readCache () {
  try {
    return readFileSync(cacheFile)
  } catch {
    return undefined
  }
}

/** Opens an address of the command line; the program takes it over. What connects meanwhile waits and is not read. */
function openEarly (address, listeners) {
  const colon = address.lastIndexOf(':')
  const waiting = []
  const server = createServer({ allowHalfOpen: true, noDelay: true, pauseOnConnect: true }, (socket) => {
    waiting.push({ socket, acceptedAt: performance.now() })
  })
  listeners.set(address, { server, waiting })
  return new Promise((resolve) => {
    server.once('listening', resolve)
    // The program tries to listen by itself and tells why it can't.
    server.once('error', () => {
      listeners.delete(address)
      resolve()
    })
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon))
  })
}

function load () {
  const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename, cachedData: readCache() })
  if (process.env.GULLWALL_CODE_CACHE === 'show') console.error(\`code cache \${script.cachedDataRejected === false ? 'taken' : 'not taken'}\`)
  script.runInThisContext().call({}, {}, require, { exports: {} }, filename, dirname(filename))
  const writeAndEnd = () => {
    require('node:fs').writeFileSync(cacheFile, script.createCachedData())
    process.exit(0)
  }
  if (process.env.GULLWALL_CODE_CACHE === 'make') writeAndEnd()
  if (process.env.GULLWALL_CODE_CACHE === 'warm') process.once('SIGUSR2', writeAndEnd)
}

const listeners = globalThis[Symbol.for('gullwall.earlyListeners')] = new Map()
Promise.all(process.argv.slice(2).map((address) => openEarly(address, listeners))).then(load)
`

/** Writes the loader of a bundle, and the cache by running it once without settings. */
export function makeCodeCache (folder, name, nodeOptions) {
  const loader = `${folder}/${name}.cjs`
  writeFileSync(loader, LOADER.replaceAll('NAME', name))
  // V8 tells sources apart by their length alone, and would take the cache of an earlier bundle of the same length.
  rmSync(`${folder}/${name}.cache`, { force: true })
  execFileSync(process.execPath, [...nodeOptions, loader], { env: { ...process.env, GULLWALL_CODE_CACHE: 'make' }, stdio: 'ignore' })
}
