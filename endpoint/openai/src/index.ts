/**
 * The dialect of model engines: the chat completions API with server-sent events, `priority` in the request body, and
 * `continue_final_message` to continue from the text received so far.
 */
export * from './engine.ts'
export * from './request-body.ts'
export * from './sse.ts'
