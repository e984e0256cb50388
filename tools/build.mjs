/**
 * Bundles programs into one file each: those of the product into dist/, and with
 * the argument `platform` those for the users' platform into target/.
 */
import { build } from 'esbuild'

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

// Libraries in CommonJS form call require(), which an ES module does not have by itself.
const REQUIRE_SHIM = "import { createRequire as gullwallRequire } from 'node:module'; const require = gullwallRequire(import.meta.url);"

const isPlatform = process.argv[2] === 'platform'
const folder = isPlatform ? 'target' : 'dist'

for (const [name, entryPoint] of Object.entries(isPlatform ? PLATFORM : PRODUCT)) {
  await build({
    entryPoints: [entryPoint],
    outfile: `${folder}/${name}.mjs`,
    bundle: true,
    minify: isPlatform,
    keepNames: isPlatform,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: { js: `#!/usr/bin/env node\n${REQUIRE_SHIM}` },
    logLevel: 'warning'
  })
  console.log(`${folder}/${name}.mjs`)
}
