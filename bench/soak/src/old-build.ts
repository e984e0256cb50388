/** Builds the programs of an earlier commit of this repository, with the libraries that its own lock file names. */
import { execFileSync } from 'node:child_process'
import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { buildPrograms, ROOT, type BuiltPrograms } from './build.ts'

const COMMIT = /^[0-9a-zA-Z][0-9a-zA-Z._/~^-]*$/

/** @throws Error if there is no such commit, or its libraries can't be had */
export async function buildOld (commit: string, folder: string): Promise<BuiltPrograms> {
  if (!COMMIT.test(commit)) throw new Error(`${commit} names no commit`)
  const sources = join(folder, 'from')
  const archive = join(folder, 'from.tar')
  mkdirSync(sources)
  execFileSync('git', ['archive', '--output', archive, commit], { cwd: ROOT })
  execFileSync('tar', ['-xf', archive, '-C', sources])
  // What was installed here before comes out of the cache.
  execFileSync('npm', ['ci', '--prefer-offline', '--ignore-scripts', '--no-audit', '--no-fund'], { cwd: sources, stdio: 'ignore' })
  return await buildPrograms(sources, { root: sources })
}
