import type { EndpointId, VmId } from '../core';
import {
  computeLimitQuota,
  computeQuotaShare,
  REQUEST_QUOTA_OPTIONS,
  type NodeRoster,
} from './requestQuota';
import { hashText } from './hashText';

jest.mock('./hashText', () => ({
  hashText: jest.fn(
    jest.requireActual<{ hashText: (text: string) => number }>('./hashText').hashText,
  ),
}));

const VM_IDS = Array.from({ length: 81 }, (_, index) => `vm-${index}` as VmId);
const createRoster = (): NodeRoster => ({ vmIds: VM_IDS, unheardCount: 0, isComplete: true });

// Guards against placements that hash the whole fleet again for each question about an endpoint.
test('the hashes of a roster are computed once', () => {
  const roster = createRoster();
  const getShare = (endpoint: string, bound: number, by = roster): number =>
    computeQuotaShare(endpoint as EndpointId, VM_IDS[0] as VmId, by, bound);
  const first = getShare('i-1', 400);
  const hashes = jest.mocked(hashText).mock.calls.length;
  expect(getShare('i-1', 400)).toBe(first);
  expect(getShare('i-1', 800)).toBeGreaterThan(first);
  expect(jest.mocked(hashText).mock.calls).toHaveLength(hashes);
  getShare('i-2', 400);
  expect(getShare('i-1', 400, createRoster())).toBe(first);
  expect(jest.mocked(hashText).mock.calls).toHaveLength(3 * hashes);
});

// Guards against shares that together exceed what an endpoint takes, and against a limit that stops all
// traffic because it allows less than one request in the usual window.
test.each([
  [0, 0],
  [0.01, 0.0167],
  [0.1, 0.1],
  [0.3, 0.25],
  [2.7, 2.5],
  [40, 40],
])('a limit of %d a second allows %d in the long run', (requestsPerSecond, expected) => {
  const { requests, windowMs } = computeLimitQuota(requestsPerSecond);
  const { delayMarginMs } = REQUEST_QUOTA_OPTIONS;
  expect((requests * 1_000) / (windowMs - delayMarginMs)).toBeCloseTo(expected, 3);
});

// Guards against shares that are rounded up at each of many nodes.
test.each([1, 9, 81])('the shares of %d nodes add up to the quota', (nodes) => {
  const vmIds = VM_IDS.slice(0, nodes);
  const roster = { vmIds, unheardCount: 0, isComplete: true };
  const { requests } = computeLimitQuota(2.7);
  const shares = vmIds.map((vmId) =>
    computeQuotaShare('i-1' as EndpointId, vmId, roster, requests),
  );
  expect(shares.reduce((sum, share) => sum + share, 0)).toBe(requests);
});
