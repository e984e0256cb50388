/** Bundles a program and its libraries into one minified script. */
import { build } from 'esbuild'
import { leanLibraries } from './lean-libraries.mjs'

/** The runtime parses the line of an assertion that fails without a text, which took 15 s in a line of 200,000 characters. */
const MAX_LINE_LENGTH = 500

/**
 * @param {string} entryPoint
 * @param {string} outfile
 */
export async function bundleScript (entryPoint, outfile) {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    minify: true,
    lineLimit: MAX_LINE_LENGTH,
    keepNames: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    plugins: [leanLibraries],
    logLevel: 'warning'
  })
}
