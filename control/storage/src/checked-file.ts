/** A whole file with a checksum over its content. */
import { crc32 } from 'node:zlib'
import { GullwallError } from '@gullwall/core.error'
import { type Disk } from './disk.ts'

const CHECKSUM_BYTES = 4

export async function writeChecked (disk: Disk, name: string, content: string | Uint8Array): Promise<void> {
  const data = typeof content === 'string' ? Buffer.from(content) : content
  const checksum = Buffer.alloc(CHECKSUM_BYTES)
  checksum.writeUInt32LE(crc32(data))
  await disk.replace(name, Buffer.concat([checksum, data]))
}

/** @throws ERR_GULLWALL_DAMAGED if the checksum does not fit */
export async function readChecked (disk: Disk, name: string): Promise<string | undefined> {
  return (await readCheckedBytes(disk, name))?.toString('utf8')
}

/** @throws ERR_GULLWALL_DAMAGED if the checksum does not fit */
export async function readCheckedBytes (disk: Disk, name: string): Promise<Buffer | undefined> {
  const file = await disk.read(name)
  if (file === undefined) return undefined
  const data = file.subarray(CHECKSUM_BYTES)
  if (file.length < CHECKSUM_BYTES || file.readUInt32LE(0) !== crc32(data)) {
    throw new GullwallError('ERR_GULLWALL_DAMAGED', `the file ${name} is damaged`, {
      step: 'disk read', hint: 'remove this member, empty its data folder and add it again'
    })
  }
  return data
}
