/** The routing decisions of an entry: which endpoint runs a request, which requests wait, and which are refused. */
export * from './types.ts'
export * from './dispatcher.ts'
export * from './endpoint-directory.ts'
export { pickRandom } from './spare-slot-choice.ts'
