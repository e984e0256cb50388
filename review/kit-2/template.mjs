/** Fills the gaps of a settings template as the pages of the deploy file say. */

const GAP = /\{\{([#/^])?([^{}]+)\}\}/g

/** Fills a template from the fields. */
export function fillTemplate (text, fields) {
  return render(parse(text), [fields], {})
}

function parse (text) {
  const root = { parts: [] }
  const open = [root]
  let from = 0
  for (const match of text.matchAll(GAP)) {
    const [whole, mark, name] = match
    open.at(-1).parts.push(text.slice(from, match.index))
    from = match.index + whole.length
    if (mark === '/') {
      open.pop()
    } else if (mark === undefined) {
      open.at(-1).parts.push({ gap: name })
    } else {
      const section = { name, isInverted: mark === '^', parts: [] }
      open.at(-1).parts.push(section)
      open.push(section)
    }
  }
  root.parts.push(text.slice(from))
  return root
}

function render ({ parts }, scopes, place) {
  return parts.map((part) => {
    if (typeof part === 'string') return part
    return part.gap === undefined ? renderSection(part, scopes, place) : renderGap(part.gap, scopes, place)
  }).join('')
}

function renderSection (section, scopes, place) {
  const value = find(section.name, scopes)
  const isGiven = value !== undefined && value !== null && value !== false
  if (section.isInverted) return isGiven ? '' : render(section, scopes, place)
  if (!isGiven) return ''
  if (typeof value !== 'object') return render(section, scopes, place)
  const entries = Object.entries(value)
  return entries.map(([key, entry], index) => (
    render(section, [...scopes, entry], { key, isLast: index === entries.length - 1 })
  )).join('')
}

function renderGap (gap, scopes, { key, isLast }) {
  if (gap === '@') return key
  if (gap === ',') return isLast ? '' : ','
  const [name, form] = gap.split('|')
  const value = find(name, scopes)
  if (value === undefined) return ''
  if (form === 'json') return JSON.stringify(value)
  if (Array.isArray(value)) return value.join(',')
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

function find (name, scopes) {
  if (name === '.') return scopes.at(-1)
  const [first, ...rest] = name.split('.')
  for (const scope of [...scopes].reverse()) {
    const value = typeof scope === 'object' && scope !== null ? scope[first] : undefined
    if (value !== undefined) return rest.reduce((inner, key) => inner?.[key], value)
  }
  return undefined
}
