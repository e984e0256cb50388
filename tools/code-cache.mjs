/**
 * Makes the code cache of a bundle: what V8 has compiled after the bundle was loaded once. A process that starts with it
 * compiles nothing. V8 takes a cache only with the options that it was made with.
 */
import { execFileSync } from 'node:child_process'
import { writeFileSync } from 'node:fs'

const LOADER = `'use strict'
const { readFileSync } = require('node:fs')
const { dirname, join } = require('node:path')
const { Script } = require('node:vm')
const { wrap } = require('node:module')

const filename = join(__dirname, 'NAME.bundle.cjs')
const cacheFile = join(__dirname, 'NAME.cache')

function readCache () {
  try {
    return readFileSync(cacheFile)
  } catch {
    return undefined
  }
}

const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename, cachedData: readCache() })
if (process.env.GULLWALL_CODE_CACHE === 'show') console.error(\`code cache \${script.cachedDataRejected === false ? 'taken' : 'not taken'}\`)
script.runInThisContext().call({}, {}, require, { exports: {} }, filename, dirname(filename))
if (process.env.GULLWALL_CODE_CACHE === 'make') {
  require('node:fs').writeFileSync(cacheFile, script.createCachedData())
  process.exit(0)
}
`

/** Writes the loader of a bundle, and the cache by running it once without settings. */
export function makeCodeCache (folder, name, nodeOptions) {
  const loader = `${folder}/${name}.cjs`
  writeFileSync(loader, LOADER.replaceAll('NAME', name))
  execFileSync(process.execPath, [...nodeOptions, loader], { env: { ...process.env, GULLWALL_CODE_CACHE: 'make' }, stdio: 'ignore' })
}
