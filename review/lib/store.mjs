import { serve } from './http.mjs'

const RECORD_BYTES = 262_144
const CALL_BYTES = 2_097_152
const APPEND_MS = 4
const LONGEST_QUEUE_MS = 2000
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const REMEMBERED_APPENDS = 5
const STATUS_TOO_LARGE = 413
const UNAVAILABLE = { status: 503, body: {} }

const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

/** Stand-in of the platform's store (form "log"), as PROTOCOL.md describes it. Keeps all history; only the features that the system calls. */
export class Store {
  /** While true, every call is answered with 503 and nothing is done (platform_down, busy). */
  isDown = false
  /** Appends that were refused because a record or a call was too large, as { at, topic, bytes }. */
  tooLarge = []
  #partitions = new Map()
  #producers = new Map()
  #server

  async listen () {
    this.#server = await serve(request => this.#handle(request))
    return this
  }

  get address () {
    return this.#server.address
  }

  close () {
    this.#server.close()
  }

  /** Writes a record of the operator or of an executor. Resolves with false while the store is down. */
  put (topic, key, value) {
    if (this.isDown) return false
    const bytes = Buffer.from(JSON.stringify(value))
    this.#store(this.#partition(topic, 0), [encodeKeyed(key, bytes)])
    return true
  }

  /** Deletes a key. */
  drop (topic, key) {
    if (this.isDown) return false
    this.#store(this.#partition(topic, 0), [encodeKeyed(key, Buffer.alloc(0))])
    return true
  }

  async #handle ({ url, body }) {
    await pause(1)
    if (this.isDown) return UNAVAILABLE
    const query = url.searchParams
    const topic = query.get('topic')
    const part = Number(query.get('part'))
    switch (url.pathname) {
      case '/v1/log-append': return await this.#append(topic, part, query, body)
      case '/v1/log-read': return await this.#read(topic, part, query)
      case '/v1/log-newest': return this.#newest(topic, part, query.get('after') ?? '')
      default: return { status: 404, body: {} }
    }
  }

  async #append (topic, part, query, body) {
    const records = splitRecords(body)
    const largest = Math.max(0, ...records.map(record => record.length))
    if (largest > RECORD_BYTES || body.length > CALL_BYTES) {
      this.tooLarge.push({ at: performance.now(), topic, bytes: Math.max(largest, body.length) })
      return { status: STATUS_TOO_LARGE, body: {} }
    }
    const partition = this.#partition(topic, part)
    const now = performance.now()
    if (partition.busyUntil - now > LONGEST_QUEUE_MS) return UNAVAILABLE
    partition.busyUntil = Math.max(now, partition.busyUntil) + APPEND_MS
    await pause(partition.busyUntil - now)
    return this.#appendNow(partition, `${topic}/${part}`, query, records)
  }

  #appendNow (partition, name, query, records) {
    if (query.has('at') && Number(query.get('at')) !== partition.records.length) return { status: 412, body: { end: partition.records.length } }
    if (!query.has('producer')) return { status: 200, body: this.#store(partition, records) }
    const key = `${name}/${query.get('producer')}`
    const epoch = Number(query.get('epoch'))
    const sequence = Number(query.get('sequence'))
    const last = this.#producers.get(key)
    if (last !== undefined && epoch < last.epoch) return { status: 409, body: { reason: 'fenced' } }
    if (last !== undefined && epoch === last.epoch) {
      const repeated = last.answers.find(answer => answer.sequence === sequence)
      if (repeated !== undefined) return { status: 200, body: repeated.body }
      if (sequence !== last.sequence + 1) return { status: 409, body: { reason: 'seq', sequence: last.sequence + 1 } }
    }
    const body = this.#store(partition, records)
    const answers = last !== undefined && epoch === last.epoch ? last.answers : []
    this.#producers.set(key, { epoch, sequence, answers: [...answers, { sequence, body }].slice(-REMEMBERED_APPENDS) })
    return { status: 200, body }
  }

  async #read (topic, part, query) {
    const partition = this.#partition(topic, part)
    const from = Number(query.get('from'))
    const limit = 1024 * Number(query.get('maxKb') ?? 1024)
    if (from >= partition.records.length) await this.#waitForRecord(partition, Number(query.get('waitMs') ?? 0))
    if (this.isDown) return UNAVAILABLE
    const header = Buffer.alloc(16)
    header.writeBigUInt64BE(BigInt(partition.records.length), 0)
    const parts = [header]
    let bytes = 0
    for (const record of partition.records.slice(from)) {
      if (bytes > 0 && bytes + record.length + 4 > limit) break
      const length = Buffer.alloc(4)
      length.writeUInt32BE(record.length)
      parts.push(length, record)
      bytes += record.length + 4
    }
    return { status: 200, body: Buffer.concat(parts) }
  }

  #newest (topic, part, after) {
    const partition = this.#partition(topic, part)
    const keys = [...partition.newest.keys()].filter(key => key > after).sort()
    const items = []
    let bytes = 0
    for (const key of keys) {
      const { value, offset } = partition.newest.get(key)
      if (items.length === PAGE_ITEMS || (items.length > 0 && bytes + value.length > PAGE_BYTES)) break
      items.push({ key, value: value.toString('base64'), offset })
      bytes += value.length
    }
    return { status: 200, body: { items, more: items.length < keys.length, end: partition.records.length } }
  }

  #store (partition, records) {
    const offset = partition.records.length
    for (const record of records) {
      const keyLength = record.length === 0 ? 0 : record.readUInt8(0)
      const key = record.toString('utf8', 1, 1 + keyLength)
      const value = record.subarray(1 + keyLength)
      if (value.length === 0) partition.newest.delete(key)
      else partition.newest.set(key, { value, offset: partition.records.length })
      partition.records.push(record)
    }
    if (records.length > 0) for (const wake of [...partition.waiters]) wake()
    return { offset, end: partition.records.length }
  }

  #partition (topic, part) {
    const name = `${topic}/${part}`
    let partition = this.#partitions.get(name)
    if (partition === undefined) {
      partition = { records: [], newest: new Map(), waiters: new Set(), busyUntil: 0 }
      this.#partitions.set(name, partition)
    }
    return partition
  }

  async #waitForRecord (partition, milliseconds) {
    await new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        partition.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, milliseconds)
      partition.waiters.add(wake)
    })
  }
}

function encodeKeyed (key, value) {
  const name = Buffer.from(key)
  return Buffer.concat([Buffer.from([name.length]), name, value])
}

/** Splits the body of an append into its records. */
function splitRecords (body) {
  const records = []
  let position = 0
  while (position + 4 <= body.length) {
    const length = body.readUInt32BE(position)
    records.push(body.subarray(position + 4, position + 4 + length))
    position += 4 + length
  }
  return records
}
