/**
 * Label selectors such as `gpu=a100, dataCentre in (east, west), !spot`. A selector matches if all its requirements are met; an
 * empty selector matches everything.
 */
import { Either, Left, Right } from 'purify-ts'
import { type Labels } from '@gullwall/core.types'

/** One condition of a selector. `values` is empty for `exists` and `absent`. */
export interface Requirement {
  key: string
  operator: 'in' | 'notin' | 'exists' | 'absent'
  values: readonly string[]
}

export type Selector = readonly Requirement[]

const KEY = '[A-Za-z0-9][A-Za-z0-9._/-]*'
const EQUALITY = new RegExp(`^(${KEY})\\s*(==|=|!=)\\s*(${KEY})$`)
const SET = new RegExp(`^(${KEY})\\s+(in|notin)\\s+\\(([^()]*)\\)$`)
const EXISTENCE = new RegExp(`^(!?)\\s*(${KEY})$`)

/** Parses a selector. `Left` contains the first part that is invalid. */
export function parseSelector (text: string): Either<string, Selector> {
  return Either.sequence(splitParts(text).map(parseRequirement))
}

/** Whether the labels meet all requirements of the selector. */
export function matches (selector: Selector, labels: Labels): boolean {
  return selector.every((requirement) => satisfies(requirement, labels[requirement.key]))
}

function satisfies (requirement: Requirement, value: string | undefined): boolean {
  switch (requirement.operator) {
    case 'exists': return value !== undefined
    case 'absent': return value === undefined
    case 'in': return value !== undefined && requirement.values.includes(value)
    case 'notin': return value === undefined || !requirement.values.includes(value)
  }
}

function splitParts (text: string): string[] {
  const commasOutsideParentheses = /,(?![^(]*\))/
  return text.split(commasOutsideParentheses).map((part) => part.trim()).filter((part, _index, all) => part !== '' || all.length > 1)
}

function parseRequirement (part: string): Either<string, Requirement> {
  const equality = EQUALITY.exec(part)
  if (equality !== null) {
    const [, key = '', operator, value = ''] = equality
    return Right({ key, operator: operator === '!=' ? 'notin' : 'in', values: [value] })
  }
  const set = SET.exec(part)
  if (set !== null) return parseSet(part, set)
  const existence = EXISTENCE.exec(part)
  if (existence !== null) {
    const [, not, key = ''] = existence
    return Right({ key, operator: not === '!' ? 'absent' : 'exists', values: [] })
  }
  return Left(part)
}

function parseSet (part: string, match: RegExpExecArray): Either<string, Requirement> {
  const [, key = '', operator, list = ''] = match
  const values = list.split(',').map((value) => value.trim())
  if (values.some((value) => !new RegExp(`^${KEY}$`).test(value))) return Left(part)
  return Right({ key, operator: operator === 'in' ? 'in' : 'notin', values })
}
