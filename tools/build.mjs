/** Bundles each program into one file in dist/. */
import { build } from 'esbuild'

const PROGRAMS = {
  gullwall: 'cli/gullwall/src/main.ts',
  'gullwall-entry': 'entry/program/src/main.ts',
  'gullwall-sidecar': 'sidecar/program/src/main.ts',
  'gullwall-control': 'control/program/src/main.ts',
  'gullwall-fake-engine': 'bench/fake-engine/src/main.ts',
  'gullwall-load': 'bench/load/src/main.ts'
}

// Libraries in CommonJS form call require(), which an ES module does not have by itself.
const REQUIRE_SHIM = "import { createRequire as gullwallRequire } from 'node:module'; const require = gullwallRequire(import.meta.url);"

for (const [name, entryPoint] of Object.entries(PROGRAMS)) {
  await build({
    entryPoints: [entryPoint],
    outfile: `dist/${name}.mjs`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: { js: `#!/usr/bin/env node\n${REQUIRE_SHIM}` },
    logLevel: 'warning'
  })
  console.log(`dist/${name}.mjs`)
}
