/** The decisions of an entry: which request runs where, which waits, which is refused. */
export * from './types.ts'
export * from './dispatcher.ts'
export * from './endpoint-directory.ts'
export { pickRandom } from './spare-slot-choice.ts'
