/** Settings templates, filled as DEPLOY.md describes it. */

/** Fills a settings template as DEPLOY.md describes it. */
export function fill (template, fields) {
  return fillWith(template, [fields], {})
}

function lookUp (name, scopes, special) {
  if (name === '.') return scopes[0]
  if (name === '@') return special.key
  for (const scope of scopes) {
    let value = scope
    for (const part of name.split('.')) value = value === null || typeof value !== 'object' ? undefined : value[part]
    if (value !== undefined) return value
  }
  return undefined
}

function fillWith (template, scopes, special) {
  let out = ''
  let rest = template
  for (;;) {
    const gap = /\{\{(.*?)\}\}/s.exec(rest)
    if (gap === null) return out + rest
    out += rest.slice(0, gap.index)
    rest = rest.slice(gap.index + gap[0].length)
    const tag = gap[1]
    if (tag[0] === '#' || tag[0] === '^') {
      const [inner, after] = block(rest, tag.slice(1))
      rest = after
      out += fillBlock(tag, inner, scopes, special)
    } else if (tag === ',') out += special.isLast ? '' : ','
    else out += textOf(tag, scopes, special)
  }
}

function textOf (tag, scopes, special) {
  const [name, form] = tag.split('|')
  const value = lookUp(name, scopes, special)
  if (form === 'json') return JSON.stringify(value ?? null)
  if (value === undefined || value === null) return ''
  return Array.isArray(value) ? value.join(',') : typeof value === 'object' ? JSON.stringify(value) : String(value)
}

function fillBlock (tag, inner, scopes, special) {
  const value = lookUp(tag.slice(1), scopes, special)
  const isGiven = value !== undefined && value !== null && value !== false
  if (tag[0] === '^') return isGiven ? '' : fillWith(inner, scopes, special)
  if (!isGiven) return ''
  if (typeof value !== 'object') return fillWith(inner, scopes, special)
  const entries = Array.isArray(value) ? value.map((entry, index) => [index, entry]) : Object.entries(value)
  return entries.map(([key, entry], index) => fillWith(inner, [entry, ...scopes], { key, isLast: index === entries.length - 1 })).join('')
}

function block (text, name) {
  const end = text.indexOf(`{{/${name}}}`)
  return [text.slice(0, end), text.slice(end + name.length + 5)]
}
