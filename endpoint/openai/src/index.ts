/**
 * The dialect of model engines: the chat completions API with streaming by
 * server-sent events, `priority` in the body, and `continue_final_message` to
 * go on from the text so far.
 */
export * from './engine.ts'
export * from './request-body.ts'
export * from './sse.ts'
