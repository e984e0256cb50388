/**
 * Judges a run of the tests against KNOWN-RED.txt, the list of tests that fail for a real fault which is not mended yet.
 * Each line of it: `FILE > NAME | cause | issue | command and seed | what was seen`; NAME has the groups of the test before
 * it, all joined by ` > `. Empty lines and lines that begin with # are passed over. A test that fails in some runs only says
 * `intermittent: N of M runs` in the field of what was seen: it may also pass.
 */

/** The list is for a few faults that are being mended, not a place to keep tests in. */
const MOST = 3
const FIELDS = ['test', 'cause', 'issue', 'command and seed', 'what was seen']
const INTERMITTENT = /^intermittent: (\d+) of (\d+) runs\b/

/**
 * Reads the list.
 * @param {string} text
 * @returns {Array<{ test: string, line: string, isIntermittent: boolean }>}
 * @throws Error that names the line where it is wrong
 */
export function readKnownRed (text) {
  const lines = text.split('\n').map((line) => line.trim()).filter((line) => line !== '' && !line.startsWith('#'))
  if (lines.length > MOST) throw new Error(`KNOWN-RED.txt has ${lines.length} lines, at most ${MOST} are allowed`)
  return lines.map((line) => {
    const fields = line.split(' | ').map((field) => field.trim())
    if (fields.length !== FIELDS.length || fields.includes('')) {
      throw new Error(`a line of KNOWN-RED.txt needs ${FIELDS.join(' | ')}: ${line}`)
    }
    return { test: fields[0], line, isIntermittent: isIntermittent(fields.at(-1), line) }
  })
}

/** Whether a test fails in some runs only, by what was seen. */
function isIntermittent (seen, line) {
  if (!seen.startsWith('intermittent')) return false
  const [, failed, runs] = INTERMITTENT.exec(seen) ?? []
  if (Number(failed) > 0 && Number(failed) < Number(runs)) return true
  throw new Error(`an intermittent test of KNOWN-RED.txt needs "intermittent: N of M runs", with 0 < N < M: ${line}`)
}

/**
 * Judges a run.
 * @param {{
 *   known: Array<{ test: string, line: string, isIntermittent: boolean }>,
 *   results: Array<{ test: string, status: string }>,
 *   hasEndedWell: boolean
 * }} run
 *   every test with its status, and whether the runner says that all went well
 * @returns {{ isGood: boolean, messages: string[] }}
 */
export function judge ({ known, results, hasEndedWell }) {
  const listed = new Set(known.map(({ test }) => test))
  const failed = results.filter(({ status }) => status === 'failed').map(({ test }) => test)
  const unexpected = failed.filter((test) => !listed.has(test))
  const passes = (test) => results.some((result) => result.test === test && result.status === 'passed')
  const passed = known.filter(({ test, isIntermittent }) => !isIntermittent && passes(test))
  const missing = known.filter(({ test }) => !results.some((result) => result.test === test && result.status !== 'skipped'))
  // The runner also fails for what belongs to no test, such as an error that nobody caught.
  const isUnexplained = !hasEndedWell && failed.length === 0
  const messages = [
    ...known.map((entry) => `known red${entry.isIntermittent ? `, ${passes(entry.test) ? 'passed' : 'failed'} this time` : ''}: ${entry.line}`),
    ...unexpected.map((test) => `failed: ${test}`),
    ...passed.map(({ test }) => `passes, take it off KNOWN-RED.txt: ${test}`),
    ...missing.filter((entry) => !passed.includes(entry)).map(({ test }) => `KNOWN-RED.txt names a test that did not run: ${test}`),
    ...(isUnexplained ? ['the test runner failed, though no test did'] : [])
  ]
  return { isGood: unexpected.length + passed.length + missing.length === 0 && !isUnexplained, messages }
}

/**
 * Takes the tests out of the runner's JSON report; a file that could not be loaded counts as a failed test.
 * @param {{ testResults: Array<{ name: string, status: string, assertionResults: Array<object> }> }} report
 * @param {(path: string) => string} nameOf gives the name of a file from the root
 */
export function resultsOf (report, nameOf) {
  return report.testResults.flatMap(({ name, status, assertionResults }) => {
    const file = nameOf(name)
    if (assertionResults.length === 0) return [{ test: file, status }]
    return assertionResults.map((result) => ({ test: [file, ...result.ancestorTitles, result.title].join(' > '), status: result.status }))
  })
}
