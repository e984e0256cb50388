/** Notes the assertions that fail in this process. The HTTP client handles its own; only the stack that each is given tells of it. */
import { afterEach, beforeEach } from 'vitest'

/** Returns the list of those that fail during a test. */
export function watchAssertions (): string[] {
  const failed: string[] = []
  const { prepareStackTrace } = Error
  beforeEach(() => {
    failed.length = 0
    Error.prepareStackTrace = (error) => {
      if (error.constructor.name === 'AssertionError') failed.push(String(error))
      return String(error)
    }
  })
  afterEach(() => { Error.prepareStackTrace = prepareStackTrace })
  return failed
}
