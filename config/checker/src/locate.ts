/** Finds the line of a key in a TOML text, as well as can be done without a parser that keeps positions. */

/** Gives the line (from 1) of a key path, or of its nearest parent; undefined if neither is there. */
export function lineOfKey (text: string, path: readonly PropertyKey[]): number | undefined {
  const wanted = path.map(String)
  let table: string[] = []
  let best: { line: number, depth: number } | undefined
  text.split('\n').forEach((content, index) => {
    const header = /^\s*\[+\s*([^\]]+?)\s*\]+/.exec(content)
    if (header !== null) table = splitKey(header[1] ?? '')
    const key = header === null ? /^\s*([\w."'-]+)\s*=/.exec(content) : null
    if (header === null && key === null) return
    const full = key === null ? table : [...table, ...splitKey(key[1] ?? '')]
    const isPrefix = full.every((part, depth) => part === withoutIndexes(wanted)[depth])
    if (isPrefix && full.length > (best?.depth ?? 0)) best = { line: index + 1, depth: full.length }
  })
  return best?.line
}

function splitKey (key: string): string[] {
  const parts = key.match(/"[^"]*"|'[^']*'|[^.\s]+/g) ?? []
  return parts.map((part) => part.replace(/^["']|["']$/g, ''))
}

function withoutIndexes (path: string[]): string[] {
  return path.filter((part) => !/^\d+$/.test(part))
}
