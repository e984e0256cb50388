import { describe, expect, it } from 'vitest'
import { judge, readKnownRed, resultsOf } from '../known-red.mjs'

const LINE = 'a/b/test/c.test.ts > group > name | a cause | issue 1 | npx vitest run, seed 1 | 3 of 3 failed'
const known = readKnownRed(`# a comment\n\n${LINE}\n`)
const listed = 'a/b/test/c.test.ts > group > name'
const other = 'a/b/test/c.test.ts > another'

describe('the list of tests that are known to fail', () => {
  it('gives the test of each line', () => {
    expect(known).toEqual([{ test: listed, line: LINE, isIntermittent: false }])
  })

  it('is refused where a line does not say all that it must', () => {
    expect(() => readKnownRed('a/b/test/c.test.ts > name | a cause | issue 1')).toThrow('command and seed')
    expect(() => readKnownRed(LINE.replace('issue 1', ''))).toThrow('needs')
  })

  it('is refused where an intermittent test does not say in how many of how many runs it failed', () => {
    for (const seen of ['intermittent', 'intermittent: sometimes', 'intermittent: 0 of 5 runs', 'intermittent: 5 of 5 runs']) {
      expect(() => readKnownRed(LINE.replace('3 of 3 failed', seen))).toThrow('intermittent')
    }
  })

  it('is refused where it has more lines than are allowed', () => {
    expect(() => readKnownRed(`${LINE}\n`.repeat(4))).toThrow('at most 3')
  })
})

describe('a run', () => {
  const run = (results, hasEndedWell) => judge({ known, results, hasEndedWell })

  it('is good where just the listed tests fail, and prints them', () => {
    const { isGood, messages } = run([{ test: listed, status: 'failed' }, { test: other, status: 'passed' }], false)
    expect(isGood).toBe(true)
    expect(messages).toEqual([`known red: ${LINE}`])
  })

  it.each([
    ['another test fails', [{ test: listed, status: 'failed' }, { test: other, status: 'failed' }], false, `failed: ${other}`],
    ['a listed test passes', [{ test: listed, status: 'passed' }], true, `passes, take it off KNOWN-RED.txt: ${listed}`],
    ['a listed test does not run', [{ test: other, status: 'passed' }], true, `KNOWN-RED.txt names a test that did not run: ${listed}`],
    ['a listed test is skipped', [{ test: listed, status: 'skipped' }], true, `KNOWN-RED.txt names a test that did not run: ${listed}`]
  ])('is bad where %s', (_what, results, hasEndedWell, message) => {
    const { isGood, messages } = run(results, hasEndedWell)
    expect(isGood).toBe(false)
    expect(messages).toContain(message)
  })

  describe('with an intermittent test', () => {
    const sometimes = 'a/b/test/d.test.ts > sometimes'
    const line = `${sometimes} | a cause | issue 71 | npx vitest run, seed 5 | intermittent: 6 of 12 runs`
    const both = readKnownRed(`${LINE}\n${line}\n`)
    const judgeBoth = (results) => judge({ known: both, results, hasEndedWell: false })

    it.each(['passed', 'failed'])('is good where it has %s, and prints it', (status) => {
      const { isGood, messages } = judgeBoth([{ test: listed, status: 'failed' }, { test: sometimes, status }])
      expect(isGood).toBe(true)
      expect(messages).toEqual([`known red: ${LINE}`, `known red, ${status} this time: ${line}`])
    })

    it('is bad where it does not run', () => {
      expect(judgeBoth([{ test: listed, status: 'failed' }, { test: sometimes, status: 'skipped' }]).isGood).toBe(false)
      expect(judgeBoth([{ test: listed, status: 'failed' }]).isGood).toBe(false)
    })

    it('is bad where any other listed test passes, or a test that is not listed fails', () => {
      const { isGood, messages } = judgeBoth([{ test: listed, status: 'passed' }, { test: sometimes, status: 'passed' }])
      expect(isGood).toBe(false)
      expect(messages).toContain(`passes, take it off KNOWN-RED.txt: ${listed}`)
      const results = [{ test: listed, status: 'failed' }, { test: sometimes, status: 'failed' }, { test: other, status: 'failed' }]
      expect(judgeBoth(results).isGood).toBe(false)
    })
  })

  it('is bad where the runner fails and no test does', () => {
    expect(judge({ known: [], results: [{ test: other, status: 'passed' }], hasEndedWell: false }).isGood).toBe(false)
  })

  it('counts a file that could not be loaded as a failed test', () => {
    const report = { testResults: [{ name: '/root/a.test.ts', status: 'failed', assertionResults: [] }] }
    const results = resultsOf(report, (path) => path.slice('/root/'.length))
    expect(judge({ known: [], results, hasEndedWell: false }).messages).toContain('failed: a.test.ts')
  })

  it('names tests by file, groups and title', () => {
    const assertionResults = [{ ancestorTitles: ['group'], title: 'name', status: 'failed' }]
    expect(resultsOf({ testResults: [{ name: '/root/x.ts', status: 'failed', assertionResults }] }, (path) => path.slice(6)))
      .toEqual([{ test: 'x.ts > group > name', status: 'failed' }])
  })
})
