/**
 * Reads TOML against a zod schema and reports every mistake at once, each with
 * file, line, key path, what was found and what is allowed.
 */
import { Either, Left, Right } from 'purify-ts'
import { parse, TomlError } from 'smol-toml'
import { type z } from 'zod'
import { GullwallError } from '@gullwall/core.error'
import { lineOfKey } from './locate.ts'

/** One mistake in a configuration file. */
export interface Mistake {
  file: string
  /** Line number from 1, where it could be found. */
  line?: number
  keyPath: string
  found: string
  allowed: string
}

export interface CheckOptions {
  /** The file's name for messages. */
  file: string
}

/** Parses and checks a TOML text. */
export function checkToml<T> (text: string, schema: z.ZodType<T>, options: CheckOptions): Either<Mistake[], T> {
  return parseToml(text, options).chain((value) => checkValue(value, schema, { ...options, text }))
}

export interface CheckValueOptions extends CheckOptions {
  /** The text the value came from, to find line numbers. */
  text?: string
  /** The path of the value within the file. */
  keyPath?: readonly PropertyKey[]
}

/** Checks a value that is already parsed. */
export function checkValue<T> (value: unknown, schema: z.ZodType<T>, options: CheckValueOptions): Either<Mistake[], T> {
  const result = schema.safeParse(value)
  if (result.success) return Right(result.data)
  const base = options.keyPath ?? []
  return Left(result.error.issues.flatMap((issue) => mistakesOfIssue(issue, value, base, options)))
}

/** Formats mistakes for a person, one a line. */
export function formatMistakes (mistakes: readonly Mistake[]): string {
  return mistakes.map(formatMistake).join('\n')
}

/** The error for a configuration that was refused as a whole. */
export function badConfiguration (mistakes: readonly Mistake[], step: string): GullwallError {
  return new GullwallError('ERR_GULLWALL_BAD_CONFIGURATION', `\n${formatMistakes(mistakes)}`, {
    step, hint: 'nothing of it was applied; mend every line listed and try again'
  })
}

/** Gives the checked value or throws {@link badConfiguration}. */
export function orThrow<T> (checked: Either<Mistake[], T>, step: string): T {
  return checked.caseOf({
    Left: (mistakes) => { throw badConfiguration(mistakes, step) },
    Right: (value) => value
  })
}

function formatMistake (mistake: Mistake): string {
  const line = mistake.line === undefined ? '' : `:${mistake.line}`
  return `${mistake.file}${line}: ${mistake.keyPath || '(top)'}: found ${mistake.found}; allowed: ${mistake.allowed}`
}

function parseToml (text: string, options: CheckOptions): Either<Mistake[], unknown> {
  try {
    return Right(parse(text))
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    const found = error.message.split('\n')[0] ?? 'text that can\'t be read'
    return Left([{ file: options.file, line: error.line, keyPath: '', found, allowed: 'TOML 1.0' }])
  }
}

function mistakesOfIssue (
  issue: z.core.$ZodIssue, value: unknown, base: readonly PropertyKey[], options: CheckValueOptions
): Mistake[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => mistake([...base, ...issue.path, key], 'an unknown key', 'the documented keys only', options))
  }
  const found = describe(valueAt(value, issue.path))
  return [mistake([...base, ...issue.path], found, issue.message, options)]
}

function mistake (path: PropertyKey[], found: string, allowed: string, options: CheckValueOptions): Mistake {
  const line = options.text === undefined ? undefined : lineOfKey(options.text, path)
  return { file: options.file, line, keyPath: path.map(String).join('.'), found, allowed }
}

function valueAt (value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value
  for (const key of path) {
    if (typeof current !== 'object' || current === null) return undefined
    current = (current as Record<PropertyKey, unknown>)[key]
  }
  return current
}

const SHOWN_CHARACTERS = 60

function describe (value: unknown): string {
  if (value === undefined) return 'nothing'
  const text = JSON.stringify(value)
  return text.length > SHOWN_CHARACTERS ? `${text.slice(0, SHOWN_CHARACTERS)}…` : text
}
