/**
 * The answers of the stand-in engine. An answer follows from its request, so a
 * checker can tell whether it is whole, the request's own, and there once.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
const DEFAULT_TOKENS = 16
const BASE = 36

/** A request's text for the stand-in: an id and the number of tokens wanted. */
export function promptText (id: string, tokens: number, opening = ''): string {
  return `${opening}#id=${id} #tokens=${tokens}`
}

/** Reads the id and the number of tokens from a prompt. */
export function readPrompt (text: string): { id: string, tokens: number } {
  const id = /#id=(\S+)/.exec(text)?.[1] ?? ''
  const tokens = Number(/#tokens=(\d+)/.exec(text)?.[1] ?? DEFAULT_TOKENS)
  return { id, tokens }
}

/** The token at a place of an answer. */
export function answerToken (prompt: string, place: number): string {
  return `${hash(`${prompt}/${place}`).toString(BASE)} `
}

/** The whole answer to a prompt. */
export function expectedAnswer (prompt: string): string {
  const { tokens } = readPrompt(prompt)
  let text = ''
  for (let place = 0; place < tokens; place++) text += answerToken(prompt, place)
  return text
}

/** How many tokens a part of an answer has. */
export function countTokens (text: string): number {
  return text.split(' ').length - 1
}

/** FNV-1a, 32 bits. */
export function hash (text: string): number {
  let value = FNV_OFFSET
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME)
  }
  return value >>> 0
}
