import { MemberFleet } from '../../../tests/MemberFleet';
import { Members } from '../../services';

const SIZES = [
  { nodes: 8, dataCentres: 3 },
  { nodes: 66, dataCentres: 6 },
  { nodes: 195, dataCentres: 6 },
  { nodes: 300, dataCentres: 6 },
] as const;

/** Two aggregators at about two exchanges a second, and those between the aggregators. */
const MAX_EXCHANGES_PER_SECOND = 9;

/** Hundreds of nodes run in the process of the test. */
const LARGE_FLEET_TIMEOUT_MS = 300_000;

let fleet: MemberFleet;

afterEach(async () => fleet.stop());

const countExchanges = (): number => fleet.network.messageCounts.get('member.exchange') ?? 0;

const isAll = (values: ReadonlyArray<number>, expected: number): boolean =>
  values.every((value) => value === expected);

// Guards against nodes that don't find the whole fleet from three seeds, and against loads that are
// counted twice or not at all on the way over two aggregators. The cost of a node must not grow with
// the fleet.
test.each(SIZES)(
  '$nodes nodes meet and add up their loads',
  async ({ nodes, dataCentres }) => {
    fleet = await MemberFleet.start(nodes, nodes, dataCentres);
    const metMs = await fleet.runUntil(6_000, () => isAll(fleet.listLiveCounts(), nodes - 1));
    expect(metMs).toBeLessThan(6_000);
    await fleet.network.run(1_500);
    const before = countExchanges();
    await fleet.network.run(1_500);
    expect((countExchanges() - before) / nodes / 1.5).toBeLessThan(MAX_EXCHANGES_PER_SECOND);
    expect(fleet.listLiveCounts()).toEqual(fleet.nodes.map(() => nodes - 1));
    expect(fleet.listRequestsOfOthers()).toEqual(fleet.nodes.map(() => nodes - 1));
  },
  LARGE_FLEET_TIMEOUT_MS,
);

// Guards against callers being sent to nodes that were killed, and against a fleet that doesn't come
// together again when most nodes, their aggregators among them, are lost at once.
test('the rest of a fleet goes on after the loss of 60 %', async () => {
  fleet = await MemberFleet.start(7, 66, 6);
  await fleet.runUntil(6_000, () => isAll(fleet.listLiveCounts(), 65));
  const killed = Array.from({ length: 40 }, (_, index) => index);
  await fleet.kill(killed);
  const forgottenMs = await fleet.runUntil(5_000, () => isAll(fleet.listLiveCounts(), 25));
  expect(forgottenMs).toBeLessThanOrEqual(4_000);
  await fleet.network.run(3_000);
  expect(fleet.listRequestsOfOthers()).toEqual(fleet.nodes.map(() => 25));
  // The seeds are among the killed nodes; once they are back, the two parts have to meet.
  for (const index of killed) await fleet.startNode(index);
  const metMs = await fleet.runUntil(8_000, () => isAll(fleet.listLiveCounts(), 65));
  expect(metMs).toBeLessThan(8_000);
});

// Guards against giving up a node because one of its aggregators lost sight of it.
test('a node that one aggregator hears stays live', async () => {
  fleet = await MemberFleet.start(11, 66, 6);
  await fleet.runUntil(6_000, () => isAll(fleet.listLiveCounts(), 65));
  const member = fleet.nodes.find((node) => !node.get(Members).readsSource())!;
  const [aggregator] = member.get(Members).listReaders();
  const pair = new Set<string>([member.settings.vmId, aggregator!]);
  fleet.network.setPartition((a, b) => pair.has(a) && pair.has(b));
  let missed = 0;
  await fleet.network.run(6_000, () => {
    missed += fleet.listSeen(member.settings.vmId).filter((isSeen) => !isSeen).length;
  });
  // The node itself never lists itself.
  expect(missed).toBe(6_000 / 50);
});

// Guards against callers that are sent for seconds to a node that a pause has stopped, and against a
// node that stays given up after it woke.
test('a paused node is left out and comes back', async () => {
  fleet = await MemberFleet.start(13, 66, 6);
  await fleet.runUntil(6_000, () => isAll(fleet.listLiveCounts(), 65));
  const paused = fleet.nodes[20]!.settings.vmId;
  fleet.network.pause(paused, 8_000);
  const others = (): ReadonlyArray<boolean> =>
    fleet.listSeen(paused).filter((_, index) => index !== 20);
  const leftOutMs = await fleet.runUntil(6_000, () => others().every((isSeen) => !isSeen));
  expect(leftOutMs).toBeLessThanOrEqual(4_000);
  await fleet.network.run(8_000 - leftOutMs);
  const backMs = await fleet.runUntil(4_000, () => others().every((isSeen) => isSeen));
  expect(backMs).toBeLessThanOrEqual(2_500);
});

// Guards against shares of a budget that add up to more than the budget while nodes are lost.
test('shares of a budget never add up to more than one', async () => {
  fleet = await MemberFleet.start(17, 66, 6);
  const sumShares = (): number =>
    fleet.nodes.reduce((sum, node) => sum + 1 / node.get(Members).countSharingNodes(), 0);
  let largest = 0;
  const observe = (): void => {
    largest = Math.max(largest, sumShares());
  };
  await fleet.network.run(6_000);
  await fleet.network.run(2_000, observe);
  await fleet.kill(Array.from({ length: 40 }, (_, index) => index + 5));
  await fleet.network.run(4_000, observe);
  for (let index = 5; index < 45; index++) await fleet.startNode(index);
  await fleet.network.run(6_000, observe);
  expect(largest).toBeLessThanOrEqual(1.01);
});

// Guards against two halves of a fleet that go on without each other after a cut has ended.
test('two halves meet again after a cut', async () => {
  fleet = await MemberFleet.start(19, 66, 6);
  await fleet.runUntil(6_000, () => isAll(fleet.listLiveCounts(), 65));
  const half = new Set(fleet.nodes.filter((_, index) => index % 6 < 3).map((n) => n.settings.vmId));
  fleet.network.setPartition((a, b) => half.has(a as never) !== half.has(b as never));
  await fleet.network.run(40_000);
  expect(fleet.listLiveCounts()).toEqual(fleet.nodes.map(() => 32));
  fleet.network.setPartition(() => false);
  const metMs = await fleet.runUntil(8_000, () => isAll(fleet.listLiveCounts(), 65));
  expect(metMs).toBeLessThan(8_000);
});

// Guards against placing by loads that are older than they may be: a node that hears nobody gets no
// exchange that would make it add up the loads again.
test('loads expire on a node that is cut off', async () => {
  fleet = await MemberFleet.start(23, 8, 3);
  await fleet.runUntil(6_000, () => isAll(fleet.listRequestsOfOthers(), 7));
  fleet.network.setPartition(() => true);
  await fleet.network.run(4_000);
  expect(fleet.listRequestsOfOthers()).toEqual(fleet.nodes.map(() => 0));
});
