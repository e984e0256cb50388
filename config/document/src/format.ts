/** How the text of a document is read. */
import { Either, Left, Right } from 'purify-ts'
import { checkValue, type Mistake } from '@gullwall/config.checker'
import { checkDocument } from './check.ts'
import { documentSchema, type RoutingDocument } from './model.ts'

/** Reads the text of a document and checks it as a whole. */
export interface DocumentFormat {
  parse (text: string): Either<Mistake[], RoutingDocument>
}

/** The product's own format: JSON with the names of the model. */
export const nativeFormat: DocumentFormat = {
  parse: (text) => parseJson(text).chain(checkShape)
}

/** Parses JSON; a text that can't be read whole is a mistake. */
export function parseJson (text: string): Either<Mistake[], unknown> {
  try {
    return Right(JSON.parse(text) as unknown)
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error)
    return Left([{ file: 'document', keyPath: '', found, allowed: 'one whole JSON value' }])
  }
}

/** Checks a value that has the names of the model. */
export function checkShape (value: unknown): Either<Mistake[], RoutingDocument> {
  return checkValue(value, documentSchema, { file: 'document' }).chain((document) => {
    const mistakes = checkDocument(document)
    return mistakes.length === 0 ? Right(document) : Left(mistakes)
  })
}
