/** Builds the programs that a run starts; with a mutation, the source files that it names are changed on the way. */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { join } from 'node:path'
import { build, type Plugin } from 'esbuild'
import { GullwallError } from '@gullwall/core.error'
import { EARLY_SIGNALS } from '../../../tools/early-signals.mjs'
import { type Mutation, type Replacement } from './mutations.ts'

export interface BuiltPrograms { gateway: string, control: string }

export const ROOT = fileURLToPath(new URL('../../../', import.meta.url))
const REQUIRE_SHIM = "import { createRequire as gullwallRequire } from 'node:module'; const require = gullwallRequire(import.meta.url);"
const ENTRY_POINTS = { gateway: 'entry/gateway/src/main.ts', control: 'control/program/src/main.ts' }

export interface BuildOptions {
  mutation?: Mutation | undefined
  /** The sources; those of this checkout where it is not given. */
  root?: string
}

/** Builds both programs into a folder. @throws ERR_GULLWALL_SOAK if the text that a mutation changes is not there */
export async function buildPrograms (folder: string, { mutation, root = ROOT }: BuildOptions = {}): Promise<BuiltPrograms> {
  const built: BuiltPrograms = { gateway: join(folder, 'gateway.mjs'), control: join(folder, 'control.mjs') }
  for (const [name, entryPoint] of Object.entries(ENTRY_POINTS)) {
    await build({
      absWorkingDir: root,
      entryPoints: [entryPoint],
      outfile: built[name as keyof BuiltPrograms],
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'esm',
      // Programs of before do not ask for what came early, and would never stop.
      banner: { js: (root === ROOT ? EARLY_SIGNALS : '') + REQUIRE_SHIM },
      plugins: mutation === undefined ? [] : [mutating(mutation)],
      logLevel: 'silent'
    })
  }
  return built
}

/** The mutated text of a source file, or of a text of it that has been mutated before. */
export function mutate ({ file, find, replace }: Replacement, text = readFileSync(join(ROOT, file), 'utf8')): string {
  const places = text.split(find).length - 1
  if (places !== 1) throw new GullwallError('ERR_GULLWALL_SOAK', `mutation: ${places} places of «${find}» in ${file}, not 1`, { step: 'mutate' })
  return text.replace(find, () => replace)
}

function mutating (mutation: Mutation): Plugin {
  const replacements = [mutation, ...mutation.more ?? []]
  return {
    name: 'mutation',
    setup (builder) {
      builder.onLoad({ filter: /\.ts$/ }, ({ path }) => {
        const ofFile = replacements.filter(({ file }) => path === join(ROOT, file))
        const contents = ofFile.reduce<string | undefined>((text, replacement) => mutate(replacement, text), undefined)
        return contents === undefined ? undefined : { contents, loader: 'ts' }
      })
    }
  }
}
