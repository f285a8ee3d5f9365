import type { EndpointId, VmId } from '../core';
import { computeQuotaShare, type NodeRoster } from './requestQuota';
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
