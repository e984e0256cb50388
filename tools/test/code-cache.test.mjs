/** Guards against programs that end at their start because V8 took the cache of an earlier bundle of the same length. */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { makeCodeCache } from '../code-cache.mjs'

let folder

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'gullwall-cache-')) })
afterEach(() => rmSync(folder, { recursive: true }))

/** Builds a bundle that prints a text, over whatever the folder holds, and returns what its program prints. */
function buildAndRun (name, text) {
  const lines = [`function ${name} () { return '${text}' }`, `function run () { return ${name}() }`, 'setImmediate(() => console.log(run()))']
  writeFileSync(join(folder, 'program.bundle.cjs'), lines.join('\n'))
  makeCodeCache(folder, 'program', [])
  return execFileSync(process.execPath, [join(folder, 'program.cjs')]).toString().trim()
}

it('a bundle that is built over one of the same length starts from a cache of its own', () => {
  expect(buildAndRun('aa', 'first')).toBe('first')
  expect(buildAndRun('bb', 'other')).toBe('other')
})
