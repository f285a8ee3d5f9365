import { MemberFleet } from '../../../tests/MemberFleet';
import type { TestNode } from '../../../tests/TestNode';
import type { PromptPartId, RequestFingerprint } from '../../core';
import { HARM_OPTIONS } from '../../decisions';
import { Members, PeerHandler, Quarantine, SharedState } from '../../services';
import { MEMBER_OPTIONS } from '../members/options';
import { QuarantinePlugin } from '.';

/** Bounds within which all nodes have to know what one has learned. */
const SIZES = [
  { nodes: 8, dataCentres: 3, withinMs: 1_500 },
  { nodes: 195, dataCentres: 6, withinMs: 2_500 },
] as const;

/** Hundreds of nodes run in the process of the test. */
const LARGE_FLEET_TIMEOUT_MS = 300_000;

const PART = 'dead' as PromptPartId;
const OTHER = 'sound' as PromptPartId;

let fleet: MemberFleet;

afterEach(async () => fleet.stop());

async function startFleet(seed: number, nodes: number, dataCentres: number): Promise<void> {
  fleet = await MemberFleet.start(seed, nodes, dataCentres, 1, [QuarantinePlugin]);
  await fleet.runUntil(6_000, () =>
    fleet.nodes.every((node) => node.get(Members).listLive().length === nodes - 1),
  );
}

const getNode = (index: number): TestNode => fleet.network.nodes.get(`front-${index}`)!;

const check = (node: TestNode): string => node.get(Quarantine).check([OTHER, PART]).outcome;

const areAll = (outcome: string): boolean => fleet.nodes.every((node) => check(node) === outcome);

/** Asks for a trial of the request that crashed engines. */
async function takeTrial(node: TestNode): Promise<boolean> {
  const quarantine = node.get(Quarantine);
  const verdict = quarantine.check([OTHER, PART]);
  return verdict.outcome === 'trial' && quarantine.takeTrial([OTHER, PART], verdict.harmful);
}

/** Reports two crashes under one part, each at another node. */
async function reportCrashes(first: number, second: number): Promise<void> {
  const lost = { parts: [OTHER, PART], hadHead: true };
  getNode(first).get(Quarantine).recordCrash('engine-1@1', lost);
  await fleet.network.run(1_000);
  getNode(second).get(Quarantine).recordCrash('engine-2@1', lost);
}

// Guards against nodes that go on sending requests under which engines crash, as no other node has
// told them, and against knowledge that is lost with the nodes that had it first.
test.each(SIZES)(
  '$nodes nodes learn a part within $withinMs ms and keep it',
  async ({ nodes, dataCentres, withinMs }) => {
    await startFleet(nodes, nodes, dataCentres);
    await reportCrashes(nodes - 1, nodes - 2);
    expect(await fleet.runUntil(withinMs, () => areAll('refuse'))).toBeLessThanOrEqual(withinMs);
    await fleet.kill([nodes - 1, nodes - 2]);
    expect(areAll('refuse')).toBe(true);
    expect(
      fleet.nodes.every((node) => node.get(Quarantine).check([OTHER]).outcome === 'admit'),
    ).toBe(true);
  },
  LARGE_FLEET_TIMEOUT_MS,
);

// Guards against a new process that repeats the fault before it has heard of it.
test.each([3, 0])('node %i knows the part once it has joined again', async (index) => {
  await startFleet(5, 12, 3);
  await reportCrashes(1, 2);
  await fleet.network.run(2_000);
  await fleet.kill([index, 1, 2]);
  const node = await fleet.startNode(index);
  expect(node.get(Members).hasJoined()).toBe(false);
  await fleet.runUntil(2_000, () => node.get(Members).hasJoined());
  expect(check(node)).toBe('refuse');
});

// Guards against a node that waits for ever for others, none of which is there.
test('a node that reaches no other one joins after a time', async () => {
  fleet = await MemberFleet.start(6, 2, 2, 1, [QuarantinePlugin]);
  fleet.network.setPartition(() => true);
  await fleet.network.run(MEMBER_OPTIONS.joinTimeoutMs - 100);
  expect(getNode(1).get(Members).hasJoined()).toBe(false);
  await fleet.network.run(200);
  expect(getNode(1).get(Members).hasJoined()).toBe(true);
});

// Guards against a herd of requests that are tried at the moment a part is no longer held, and
// against a part that stays refused although a request with it was served.
test.each(SIZES)(
  'one of $nodes nodes tries the part, then all serve it',
  async ({ nodes, dataCentres, withinMs }) => {
    await startFleet(nodes + 1, nodes, dataCentres);
    await reportCrashes(0, 1);
    await fleet.network.run(HARM_OPTIONS.baseHoldMs + 500);
    expect(areAll('trial')).toBe(true);
    const asked = fleet.nodes.map(async (node) => takeTrial(node));
    await fleet.network.run(1_000);
    const granted = await Promise.all(asked);
    expect(granted.filter(Boolean)).toHaveLength(1);
    const tried = fleet.nodes[granted.indexOf(true)]!;
    tried.get(Quarantine).recordSound([OTHER, PART], tried.clock.nowMs());
    expect(await fleet.runUntil(withinMs, () => areAll('admit'))).toBeLessThanOrEqual(withinMs);
  },
  LARGE_FLEET_TIMEOUT_MS,
);

// Guards against a failed trial that is followed by others at once.
test('a failed trial holds the part longer', async () => {
  await startFleet(8, 8, 3);
  await reportCrashes(0, 1);
  await fleet.network.run(HARM_OPTIONS.baseHoldMs + 500);
  getNode(3)
    .get(Quarantine)
    .recordCrash('engine-3@1', { parts: [OTHER, PART], hadHead: true });
  await fleet.network.run(HARM_OPTIONS.baseHoldMs + 2_000);
  expect(areAll('refuse')).toBe(true);
  await fleet.network.run(HARM_OPTIONS.baseHoldMs);
  expect(areAll('trial')).toBe(true);
});

// Guards against nodes that send each other the same evidence with every exchange.
test('evidence is sent once to each node', async () => {
  await startFleet(9, 8, 3);
  const countBytes = async (): Promise<number> => {
    const before = fleet.network.transferredBytes;
    await fleet.network.run(5_000);
    return fleet.network.transferredBytes - before;
  };
  const withoutEvidence = await countBytes();
  await reportCrashes(0, 1);
  await fleet.network.run(3_000);
  expect(areAll('refuse')).toBe(true);
  expect(await countBytes()).toBeLessThan(1.1 * withoutEvidence);
});

// Guards against nodes that don't hear that one attempt crashed two endpoints, and against one that
// an earlier release sends, without that field.
test('a request that crashed two endpoints is known everywhere', async () => {
  await startFleet(11, 8, 3);
  const request = `request:${'x'.repeat(22)}` as RequestFingerprint;
  const lost = { parts: [request, OTHER], hadHead: true };
  getNode(0).get(Quarantine).recordCrash('engine-1@1', lost);
  getNode(0).get(Quarantine).recordCrash('engine-2@1', lost, request);
  const isRefused = (): boolean =>
    fleet.nodes.every((node) => {
      const quarantine = node.get(Quarantine);
      return quarantine.check([request, OTHER]).outcome === 'refuse';
    });
  expect(await fleet.runUntil(1_500, isRefused)).toBeLessThanOrEqual(1_500);
  expect(fleet.nodes.every((node) => check(node) === 'admit')).toBe(true);
  const state = getNode(0)
    .getAll(SharedState)
    .find(({ type }) => type === 'crashes')!;
  const { resent, ...earlier } = state.encode() as { readonly resent: unknown };
  expect(resent).toEqual([['engine-2@1', [request]]]);
  expect(state.schema.parse(earlier)).toMatchObject({ resent: [] });
});

// Guards against one malformed message that takes a node down or closes its links.
test('malformed evidence is ignored', async () => {
  await startFleet(10, 2, 2);
  const [node, other] = fleet.nodes as readonly [TestNode, TestNode];
  const handler = node.getAll(PeerHandler).find(({ type }) => type === 'member.exchange')!;
  const { settings, incarnation } = other;
  const { vmId, dataCentre, region, peerAddress, callerAddress } = settings;
  const from = { vmId, incarnation };
  const request = {
    self: [vmId, incarnation, dataCentre, region, peerAddress, callerAddress, true],
    loads: [],
    summaries: [],
    role: 'mesh',
    knownLists: [],
    missing: [],
    wantsLoadSums: false,
    shared: [['crashes', 7, 0, { crashes: 'none', sound: 3 }]],
  };
  await handler.handle(from, handler.schema.parse(request));
  expect(node.hasLogged('shared state ignored')).toBe(true);
  expect(check(node)).toBe('admit');
});
