import { connect, createServer } from 'node:net'

/**
 * A TCP proxy in front of one address.
 * - `cut`: until `heal`, no byte passes. What both sides send meanwhile is held up and arrives after the cut, unless its sender has closed the channel by then.
 * - `silence`: the channels that are open now go silent for good, without a reset; new ones work.
 */
export class Path {
  #server = createServer(client => this.#open(client))
  #channels = new Set()
  #isCut = false

  constructor (target) {
    this.target = target
  }

  async listen (host = '127.0.0.1') {
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
    return this
  }

  cut () {
    this.#isCut = true
  }

  heal () {
    this.#isCut = false
    for (const channel of this.#channels) {
      if (channel.isSilent) continue
      for (const action of channel.held.splice(0)) action()
    }
  }

  /** Silences open channels; returns their number. `matches` gets the beginning of the request that waits for its answer on a channel; empty if none does. */
  silence (matches = () => true) {
    let count = 0
    for (const channel of this.#channels) {
      if (channel.isSilent || !matches(channel.waiting)) continue
      channel.isSilent = true
      count += 1
    }
    return count
  }

  close () {
    this.#server.close()
    for (const { client, server } of this.#channels) {
      client.destroy()
      server.destroy()
    }
  }

  #open (client) {
    const [host, port] = this.target.split(':')
    const server = connect({ host, port: Number(port), noDelay: true })
    const channel = { client, server, isSilent: false, held: [], waiting: '' }
    this.#channels.add(channel)
    client.setNoDelay(true)
    this.#forward(channel, client, server)
    this.#forward(channel, server, client)
    client.on('data', chunk => { channel.waiting = chunk.subarray(0, 300).toString('latin1') })
    server.on('data', () => { channel.waiting = '' })
    client.on('close', () => {
      // What the client sent and was held up is lost.
      if (channel.isSilent || this.#isCut) channel.held = []
      this.#channels.delete(channel)
      server.destroy()
    })
  }

  #forward (channel, from, to) {
    const pass = action => {
      if (channel.isSilent) return
      if (this.#isCut) channel.held.push(action)
      else action()
    }
    from.on('data', chunk => pass(() => { if (!to.destroyed) to.write(chunk) }))
    from.on('error', () => {})
    from.on('close', () => pass(() => to.destroy()))
  }
}
