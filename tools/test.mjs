/** Runs all tests and judges them against KNOWN-RED.txt; arguments go to the test runner. */
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, relative, resolve } from 'node:path'
import { judge, readKnownRed, resultsOf } from './known-red.mjs'

const root = resolve(import.meta.dirname, '..')
const listFile = join(root, 'KNOWN-RED.txt')
const folder = mkdtempSync(join(tmpdir(), 'gullwall-tests-'))
const reportFile = join(folder, 'report.json')

try {
  const known = existsSync(listFile) ? readKnownRed(readFileSync(listFile, 'utf8')) : []
  const runner = join(root, 'node_modules/vitest/vitest.mjs')
  const given = ['run', '--reporter=default', '--reporter=json', `--outputFile.json=${reportFile}`, ...process.argv.slice(2)]
  const { status } = spawnSync(process.execPath, [runner, ...given], { cwd: root, stdio: 'inherit' })
  const results = resultsOf(JSON.parse(readFileSync(reportFile, 'utf8')), (path) => relative(root, path))
  const { isGood, messages } = judge({ known, results, hasEndedWell: status === 0 })
  for (const message of messages) console.log(message)
  const passed = results.filter((result) => result.status === 'passed').length
  const failed = results.filter((result) => result.status === 'failed').length
  console.log(`${passed} passed, ${failed} failed${known.length === 0 ? '' : ` (${known.length} known red)`}`)
  process.exitCode = isGood ? 0 : 1
} finally {
  rmSync(folder, { recursive: true, force: true })
}
