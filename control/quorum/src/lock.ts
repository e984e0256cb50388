/** Runs tasks one after another. */
export class Lock {
  private last: Promise<unknown> = Promise.resolve()

  run<T> (task: () => Promise<T>): Promise<T> {
    const result = this.last.then(task)
    this.last = result.catch(() => {})
    return result
  }
}
