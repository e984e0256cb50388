import { describe, expect, it } from 'vitest'
import { formatMistakes } from '@gullwall/config.checker'
import { checkChanges, checkRecordsFile, hashSecret, newOrganisationKey, organisationSchema, secretMatches, splitKey } from '@gullwall/config.records'
import { controlSettingsSchema, entrySettingsSchema } from '@gullwall/config.settings'
import { checkToml } from '@gullwall/config.checker'

function mistakesIn (text: string): string {
  return checkRecordsFile(text, 'records.toml').swap().map(formatMistakes).orDefault('')
}

describe('the check of files', () => {
  it('lists every mistake with line, key, what was found and what is allowed', () => {
    const text = mistakesIn('[class.a]\ntier = -1\nfirstTokenMs = 700\nmaxWaitMs = "x"\nselector = "a in ("\n[nonsense.b]\nx = 1\n')
    expect(text).toMatch(/records\.toml:2: class\.a\.tier: found -1/)
    expect(text).toMatch(/records\.toml:4: class\.a\.maxWaitMs: found "x"/)
    expect(text).toMatch(/records\.toml:5: class\.a\.selector: .*allowed: requirements such as/)
    expect(text).toMatch(/nonsense: found an unknown key/)
  })

  it('names the line of a syntax error', () => {
    expect(mistakesIn('[class.a]\ntier = = 1\n')).toMatch(/^records\.toml:2: /)
  })

  it('takes only IP literals as addresses', () => {
    const check = (listen: string) => checkToml(`listen = "${listen}"`, entrySettingsSchema, { file: 'f' }).swap().map(formatMistakes).orDefault('')
    expect(check('localhost:80')).toContain('f:1: listen: found "localhost:80"; allowed: an IP literal and a port')
    expect(check('127.0.0.1:70000')).toContain('listen')
    expect(check('[::1]:80')).not.toContain('listen')
  })

  it('asks for what a program needs', () => {
    const text = checkToml('', controlSettingsSchema, { file: 'f' }).swap().map(formatMistakes).orDefault('')
    for (const key of ['box', 'dataCentre', 'listen', 'linkKey', 'member', 'dataFolder', 'members', 'operatorToken']) expect(text).toContain(key)
  })

  it('checks changes that come over the wire', () => {
    expect(checkChanges([{ key: 'class/a', value: '{"tier":0}' }]).isLeft()).toBe(true)
    expect(checkChanges([{ key: 'other/a', value: '{}' }]).isLeft()).toBe(true)
    expect(checkChanges([{ key: 'selector/a', value: '{"match":"a=b"}' }, { key: 'class/b', value: null }]).isRight()).toBe(true)
  })
})

describe('organisation keys', () => {
  it('fit their hash only, also while two are held', () => {
    const first = newOrganisationKey('o')
    const second = newOrganisationKey('o')
    const organisation = organisationSchema.parse({ keys: [first.hash, second.hash], classes: ['c'] })
    const secretOf = (key: string) => splitKey(key)?.secret ?? ''
    expect(secretMatches(secretOf(first.key), organisation)).toBe(true)
    expect(secretMatches(secretOf(second.key), organisation)).toBe(true)
    expect(secretMatches(secretOf(newOrganisationKey('o').key), organisation)).toBe(false)
    expect(first.hash).not.toContain(secretOf(first.key))
    expect(hashSecret('x', '00')).toBe(hashSecret('x', '00'))
  })
})
