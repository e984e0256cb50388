import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, expect, it } from 'vitest'
import { FolderDisk, LogFile, MemoryDisk, readChecked, writeChecked } from '@gullwall/control.storage'

const entries = [1, 2, 3].map((index) => ({ index, term: 1, data: `data ${index}` }))

async function written (): Promise<MemoryDisk> {
  const disk = new MemoryDisk()
  await (await LogFile.open(disk)).log.append(entries)
  return disk
}

describe('the log file', () => {
  it('gives back what was appended, cut and rewritten', async () => {
    const disk = await written()
    const { log } = await LogFile.open(disk)
    await log.cutFrom(3)
    await log.append([{ index: 3, term: 2, data: 'another' }])
    expect((await LogFile.open(disk)).entries).toEqual([entries[0], entries[1], { index: 3, term: 2, data: 'another' }])
    await log.rewrite([{ index: 3, term: 2, data: 'another' }])
    expect((await LogFile.open(disk)).entries).toHaveLength(1)
  })

  it('cuts a torn tail at every byte', async () => {
    const content = await (await written()).read('log') ?? Buffer.alloc(0)
    const whole = await LogFile.open(await written())
    expect(whole.entries).toHaveLength(3)
    const lastStart = content.lastIndexOf('gwL2')
    for (let length = lastStart; length < content.length; length++) {
      const disk = new MemoryDisk()
      await disk.append('log', content.subarray(0, length))
      expect((await LogFile.open(disk)).entries).toEqual(entries.slice(0, 2))
      expect((await disk.read('log'))?.length).toBe(lastStart)
    }
  })

  it('cuts a write that was not synced and of which only the later part is there', async () => {
    const disk = await written()
    const { log } = await LogFile.open(disk)
    const synced = (await disk.read('log') ?? Buffer.alloc(0)).length
    await log.append([4, 5].map((index) => ({ index, term: 1, data: `data ${index}` })))
    const content = Buffer.from(await disk.read('log') ?? '')
    content.fill(0, synced, content.lastIndexOf('gwL2'))
    await disk.replace('log', content)
    expect((await LogFile.open(disk)).entries).toEqual(entries)
  })

  it('writes over what a failed write has left', async () => {
    const disk = await written()
    const { log } = await LogFile.open(disk)
    const append = disk.append.bind(disk)
    disk.append = async (name, data) => {
      await append(name, data.subarray(0, 30))
      throw new Error('no space')
    }
    await expect(log.append([{ index: 4, term: 1, data: 'data 4' }])).rejects.toThrow('no space')
    disk.append = append
    await log.append([{ index: 4, term: 2, data: 'again' }])
    expect((await LogFile.open(disk)).entries).toEqual([...entries, { index: 4, term: 2, data: 'again' }])
  })

  it('stops at damage in a write that was followed by another', async () => {
    const written = new MemoryDisk()
    const { log } = await LogFile.open(written)
    for (const entry of entries) await log.append([entry])
    const content = Buffer.from(await written.read('log') ?? '')
    content[20] = (content[20] ?? 0) ^ 1
    const disk = new MemoryDisk()
    await disk.append('log', content)
    await expect(LogFile.open(disk)).rejects.toMatchObject({ code: 'ERR_GULLWALL_DAMAGED' })
  })
})

describe('a data folder', () => {
  it('keeps files and tells damage from absence', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'gullwall-disk-'))
    try {
      const disk = await FolderDisk.open(folder)
      await writeChecked(disk, 'vote', 'one')
      await writeChecked(disk, 'vote', 'two')
      expect(await readChecked(disk, 'vote')).toBe('two')
      expect(await readChecked(disk, 'none')).toBeUndefined()
      await disk.replace('vote', Buffer.from('xxxxtwo'))
      await expect(readChecked(disk, 'vote')).rejects.toMatchObject({ code: 'ERR_GULLWALL_DAMAGED' })
      await (await LogFile.open(disk)).log.append(entries)
      await disk.close()
      expect((await LogFile.open(await FolderDisk.open(folder))).entries).toEqual(entries)
    } finally {
      rmSync(folder, { recursive: true })
    }
  })
})
