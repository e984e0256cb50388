/**
 * Bundles programs into one file each: those of the product into dist/, and with
 * the argument `platform` those for the users' platform into target/. A second argument names another folder.
 */
import { resolve } from 'node:path'
import { build } from 'esbuild'
import { warmUp } from '../platform/adapter/build/warm-up.mjs'
import { bundleScript } from './bundle-script.mjs'
import { makeCodeCache } from './code-cache.mjs'
import { EARLY_SIGNALS } from './early-signals.mjs'
import { NODE_OPTIONS } from './node-options.mjs'

const PRODUCT = {
  gullwall: 'cli/gullwall/src/main.ts',
  'gullwall-entry': 'entry/program/src/main.ts',
  'gullwall-gateway': 'entry/gateway/src/main.ts',
  'gullwall-sidecar': 'sidecar/program/src/main.ts',
  'gullwall-control': 'control/program/src/main.ts',
  'gullwall-fake-engine': 'bench/fake-engine/src/main.ts',
  'gullwall-load': 'bench/load/src/main.ts'
}

const PLATFORM = {
  gateway: 'platform/adapter/src/gateway.ts',
  control: 'platform/adapter/src/control.ts'
}

/** Programs that end by themselves: a signal ends them at once. */
const SHORT = new Set(['gullwall', 'gullwall-load', 'gullwall-fake-engine'])

// Libraries in CommonJS form call require(), which an ES module does not have by itself.
const REQUIRE_SHIM = "import { createRequire as gullwallRequire } from 'node:module'; const require = gullwallRequire(import.meta.url);"

async function buildProduct (folder) {
  for (const [name, entryPoint] of Object.entries(PRODUCT)) {
    await build({
      entryPoints: [entryPoint],
      outfile: `${folder}/${name}.mjs`,
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'esm',
      banner: { js: `#!/usr/bin/env node\n${SHORT.has(name) ? '' : EARLY_SIGNALS}${REQUIRE_SHIM}` },
      logLevel: 'warning'
    })
    console.log(`${folder}/${name}.mjs`)
  }
}

/** A script, unlike a module, can be started from a code cache. */
async function buildPlatform (folder) {
  for (const [name, entryPoint] of Object.entries(PLATFORM)) {
    await bundleScript(entryPoint, `${folder}/${name}.bundle.cjs`)
    makeCodeCache(folder, name, NODE_OPTIONS[name])
    console.log(`${folder}/${name}.cjs`)
  }
  try {
    await warmUp(resolve(folder), NODE_OPTIONS)
  } catch (error) {
    console.log(`the code caches hold what is loaded at a start only: ${error.message}`)
  }
}

const [, , what, folder] = process.argv
if (what === 'platform') await buildPlatform(folder ?? 'target')
else await buildProduct(folder ?? 'dist')
