import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AccessControl, mayAccess, type AccessMode, type ConfigurationSource } from '../../../src/cluster/organisations/accessControl.js'
import type { ClusterConfiguration, Organisation, Queue } from '../../../src/contracts/clusterConfiguration.js'

const REVOKE_MILLISECONDS = 5000
const UNLIMITED = { processorsThousandths: 0, memoryMegabytes: 0, accelerators: 0 }

function queueOf (isPublic: boolean): Queue {
  return { name: 'queue', host: 'h', routePrefix: '/q/', pool: 'pool', priority: 0, attempts: 1, stretch: 1, targetMilliseconds: 0, isPublic }
}

function organisation (name: string, ...apiKeys: string[]): Organisation {
  return { name, apiKeys, weight: 1, cap: UNLIMITED }
}

function configurationOf (organisations: readonly Organisation[], malformedOrganisations = 0): ClusterConfiguration {
  return { revision: 1, queues: [], organisations, malformedOrganisations, pools: [], maximumBodyBytes: 1000 }
}

interface Case {
  readonly name: string
  readonly organisations?: readonly Organisation[]
  readonly malformedOrganisations?: number
  readonly isPublic?: boolean
  readonly authorization?: string
  readonly mode?: AccessMode
  /** Age of the last read of the configuration, in milliseconds. */
  readonly age?: number
  readonly appliesToReads?: boolean
  /** Organisation of the granted access, `anyone` without one, `unrestricted`, or the reason of a refusal. */
  readonly expected: string
}

const OLD = REVOKE_MILLISECONDS + 1
const KEYED = [organisation('acme', 'key-a', 'key-b'), organisation('bolt', 'key-c')]

const CASES: readonly Case[] = [
  { name: 'any caller without organisations', organisations: [], expected: 'unrestricted' },
  { name: 'any key without organisations', organisations: [], authorization: 'Bearer nonsense', expected: 'unrestricted' },
  { name: 'any caller without organisations, however old the reading', organisations: [], age: OLD, mode: 'write', expected: 'unrestricted' },
  { name: 'a known key', authorization: 'Bearer key-a', expected: 'acme' },
  { name: 'another key of the same organisation', authorization: 'Bearer key-b', expected: 'acme' },
  { name: 'a scheme in other letters', authorization: 'bEARER key-c', expected: 'bolt' },
  { name: 'no key', expected: 'missing' },
  { name: 'another scheme', authorization: 'Basic key-a', expected: 'malformed' },
  { name: 'a scheme without a key', authorization: 'Bearer ', expected: 'malformed' },
  { name: 'a key with a space', authorization: 'Bearer key-a key-a', expected: 'malformed' },
  { name: 'the key alone', authorization: 'key-a', expected: 'malformed' },
  { name: 'an unknown key', authorization: 'Bearer key-z', expected: 'unknown' },
  { name: 'a prefix of a key', authorization: 'Bearer key', expected: 'unknown' },
  { name: 'a key of two organisations', organisations: [organisation('acme', 'key-a'), organisation('bolt', 'key-a')], authorization: 'Bearer key-a', expected: 'unknown' },
  { name: 'organisations without keys', organisations: [organisation('acme')], authorization: 'Bearer key-a', expected: 'unknown' },
  { name: 'malformed organisations alone', organisations: [], malformedOrganisations: 1, expected: 'missing' },
  { name: 'no key on a public queue', isPublic: true, expected: 'anyone' },
  { name: 'an unknown key on a public queue', isPublic: true, authorization: 'Bearer key-z', expected: 'anyone' },
  { name: 'a known key on a public queue', isPublic: true, authorization: 'Bearer key-a', expected: 'acme' },
  { name: 'a write at the end of the revocation time', authorization: 'Bearer key-a', mode: 'write', age: REVOKE_MILLISECONDS, expected: 'acme' },
  { name: 'a write after the revocation time', authorization: 'Bearer key-a', mode: 'write', age: OLD, expected: 'stale' },
  { name: 'a read after the revocation time', authorization: 'Bearer key-a', mode: 'read', age: OLD, expected: 'acme' },
  { name: 'a strict read after the revocation time', authorization: 'Bearer key-a', mode: 'read', age: OLD, appliesToReads: true, expected: 'stale' },
  { name: 'an unknown key that may be newer than the reading', authorization: 'Bearer key-z', age: OLD, expected: 'stale' },
  { name: 'no key, with an old reading', mode: 'write', age: OLD, expected: 'missing' },
  { name: 'no key on a public queue, with an old reading', isPublic: true, mode: 'write', age: OLD, appliesToReads: true, expected: 'anyone' },
  { name: 'a key on a public queue, with an old reading', isPublic: true, authorization: 'Bearer key-a', mode: 'write', age: OLD, expected: 'stale' }
]

function describeDecision (control: AccessControl, authorization: string | undefined, mode: AccessMode, isPublic = false): string {
  const decision = control.accessOf(authorization, () => queueOf(isPublic)).check(mode)
  if (decision.kind === 'refused') return decision.reason
  return decision.caller.isUnrestricted ? 'unrestricted' : decision.caller.organisation ?? 'anyone'
}

describe('AccessControl', () => {
  for (const { name, organisations = KEYED, malformedOrganisations = 0, isPublic, authorization, mode = 'read', age = 0, appliesToReads = false, expected } of CASES) {
    it(`decides on ${name}: ${expected}`, () => {
      const source = { configuration: configurationOf(organisations, malformedOrganisations), configurationReadAt: 1000 }
      const control = new AccessControl(source, { milliseconds: REVOKE_MILLISECONDS, appliesToReads }, () => 1000 + age)
      assert.equal(describeDecision(control, authorization, mode, isPublic), expected)
    })
  }

  /** Changes of the configuration between two checks of one call, as on a connection that stays open or while a body arrives. */
  const CHANGES: ReadonlyArray<{ readonly name: string, readonly before: readonly Organisation[], readonly after: readonly Organisation[], readonly expected: readonly [string, string] }> = [
    { name: 'added', before: [organisation('acme')], after: [organisation('acme', 'key-a')], expected: ['unknown', 'acme'] },
    { name: 'withdrawn', before: [organisation('acme', 'key-a')], after: [organisation('acme')], expected: ['acme', 'unknown'] },
    { name: 'withdrawn with its organisation', before: KEYED, after: [organisation('bolt', 'key-c')], expected: ['acme', 'unknown'] },
    { name: 'rotated', before: [organisation('acme', 'key-a')], after: [organisation('acme', 'key-b', 'key-a')], expected: ['acme', 'acme'] },
    { name: 'passed to another organisation', before: [organisation('acme', 'key-a')], after: [organisation('acme'), organisation('bolt', 'key-a')], expected: ['acme', 'bolt'] }
  ]
  for (const { name, before, after, expected } of CHANGES) {
    it(`decides anew on a key that is ${name} during a call`, () => {
      const source: { -readonly [Key in keyof ConfigurationSource]: ConfigurationSource[Key] } = { configuration: configurationOf(before), configurationReadAt: 0 }
      const control = new AccessControl(source, { milliseconds: REVOKE_MILLISECONDS, appliesToReads: false }, () => 0)
      const access = control.accessOf('Bearer key-a', () => queueOf(false))
      const check = (): string | undefined => {
        const decision = access.check('write')
        return decision.kind === 'refused' ? decision.reason : decision.caller.organisation
      }
      const first = check()
      source.configuration = configurationOf(after)
      assert.deepEqual([first, check()], expected)
    })
  }

  it('refuses all callers before the first configuration', () => {
    const control = new AccessControl({ configuration: undefined, configurationReadAt: undefined }, { milliseconds: REVOKE_MILLISECONDS, appliesToReads: false }, () => 0)
    assert.equal(describeDecision(control, 'Bearer key-a', 'read'), 'stale')
  })
})

describe('mayAccess', () => {
  const OWNERS: ReadonlyArray<{ readonly caller: Parameters<typeof mayAccess>[0], readonly owner: string | undefined, readonly expected: boolean }> = [
    { caller: { isUnrestricted: true }, owner: 'acme', expected: true },
    { caller: { isUnrestricted: false, organisation: 'acme' }, owner: 'acme', expected: true },
    { caller: { isUnrestricted: false, organisation: 'acme' }, owner: 'bolt', expected: false },
    { caller: { isUnrestricted: false, organisation: 'acme' }, owner: undefined, expected: true },
    { caller: { isUnrestricted: false }, owner: 'acme', expected: false },
    { caller: { isUnrestricted: false }, owner: undefined, expected: true }
  ]
  for (const { caller, owner, expected } of OWNERS) {
    it(`${expected ? 'lets' : 'does not let'} ${JSON.stringify(caller)} access a job of ${owner ?? 'nobody'}`, () => assert.equal(mayAccess(caller, owner), expected))
  }
})
