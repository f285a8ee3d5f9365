import fc from 'fast-check';
import { MemberFleet } from '../../../tests/MemberFleet';
import type { Incarnation, VmId } from '../../core';
import { Members, PeerHandler, type Peer } from '../../services';
import type { TestNode } from '../../../tests/TestNode';
import { exchangeRequestSchema, type ExchangeRequest } from './memberMessages';

const INCARNATION = '0123456789abcdef' as Incarnation;

const createRequest = (changes: Readonly<Record<string, unknown>> = {}): unknown => ({
  self: ['front-9', INCARNATION, 'seq-1', 'seq', '10.9.9.9:1', '10.9.9.9:2', true],
  loads: [],
  summaries: [],
  role: 'member',
  knownLists: [],
  missing: [],
  wantsLoadSums: false,
  ...changes,
});

let fleet: MemberFleet;

afterEach(async () => fleet.stop());

async function send(node: TestNode, from: Peer, request: unknown): Promise<unknown> {
  const handler = node.getAll(PeerHandler).find(({ type }) => type === 'member.exchange');
  return handler!.handle(from, exchangeRequestSchema.parse(request));
}

const listIds = (node: TestNode): ReadonlyArray<VmId> =>
  node
    .get(Members)
    .listLive()
    .map(({ vmId }) => vmId);

// Guards against a state that an authenticated node sends in the name of another one, or of an earlier
// process.
test.each([
  ['another node', { vmId: 'front-8' as VmId, incarnation: INCARNATION }],
  ['another process', { vmId: 'front-9' as VmId, incarnation: 'fedcba9876543210' as Incarnation }],
])('ignores a state from %s', async (_name, from) => {
  fleet = await MemberFleet.start(1, 1, 1);
  const [node] = fleet.nodes;
  await send(node!, from, createRequest());
  expect(listIds(node!)).toEqual([]);
  expect(node!.hasLogged('member state of another node ignored')).toBe(true);
  await send(node!, { vmId: 'front-9' as VmId, incarnation: INCARNATION }, createRequest());
  await fleet.network.run(100);
  expect(listIds(node!)).toEqual(['front-9']);
});

// Guards against an exchange that takes all memory, and against ages and counts that no node can have.
test.each([
  ['a summary from the future', { summaries: [{ ageMs: -5 }] }],
  ['too many identities', { missing: Array.from({ length: 5_000 }, (_, index) => index) }],
  ['a negative load', { loads: [['engine-1', -1, 0, 0, 0]] }],
  ['a load that is no number', { loads: [['engine-1', NaN, 0, 0, 0]] }],
  ['an unknown role', { role: 'leader' }],
  ['an address without end', { self: ['front-9', INCARNATION, 'x'.repeat(999), '', '', '', true] }],
])('refuses %s', async (_name, changes) => {
  fleet = await MemberFleet.start(1, 1, 1);
  const summary = { origin: 'front-9', dataCentre: 'seq-1', membersHash: 1, members: [1] };
  const summaries = (changes as { summaries?: ReadonlyArray<object> }).summaries ?? [];
  const request = createRequest({
    ...changes,
    summaries: summaries.map((each) => ({ ...summary, ...each })),
  });
  expect(exchangeRequestSchema.safeParse(request).success).toBe(false);
});

// Guards against a malformed exchange that does more than fail its validation.
test('any body is parsed or refused', async () => {
  fleet = await MemberFleet.start(1, 1, 1);
  const [node] = fleet.nodes;
  const from = { vmId: 'front-9' as VmId, incarnation: INCARNATION };
  const anyField = fc.constantFrom(...Object.keys(createRequest() as ExchangeRequest));
  await fc.assert(
    fc.asyncProperty(anyField, fc.anything(), async (field, value) => {
      const result = exchangeRequestSchema.safeParse(createRequest({ [field]: value }));
      if (result.success) await send(node!, from, result.data);
    }),
    { seed: 20261204, numRuns: 2_000 },
  );
  expect(listIds(node!).length).toBeLessThanOrEqual(1);
});
