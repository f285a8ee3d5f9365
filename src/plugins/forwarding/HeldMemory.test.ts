import { HeldMemory } from './HeldMemory';

const ORDINARY_BYTES = 250;
const ORDINARY_PART_BYTES = 60;

function createFullMemory(): HeldMemory {
  const memory = new HeldMemory(1_000, ORDINARY_BYTES, ORDINARY_PART_BYTES);
  memory.reserve(1_000 - ORDINARY_BYTES);
  return memory;
}

// Guards against a crowd beside which an ordinary request has no room for its body.
test('an ordinary request has room for a small body beside a crowd', () => {
  const part = createFullMemory().reserveOrdinary(40);
  expect(part?.grow(20)).toBe(true);
});

// Guards against large bodies that take the room of ordinary requests.
test('a large body has no room beside a crowd', () => {
  const memory = createFullMemory();
  const part = memory.reserveOrdinary(40);
  expect(part?.grow(21)).toBe(false);
  expect(memory.reserve(1)).toBeUndefined();
  expect(memory.bytes).toBe(790);
});

// Guards against bytes that stay counted after the connection that held them.
test('a released part holds nothing, also beyond the limit', () => {
  const memory = createFullMemory();
  const part = memory.reserveAlways(500);
  part.growAlways(500);
  expect(memory.bytes).toBe(1_750);
  part.release();
  part.release();
  expect(memory.bytes).toBe(750);
});

// Guards against requests that are refused for memory which the node can do without, and against
// reclaiming more than is needed.
test('the largest reclaimable parts give way, and no more than needed', () => {
  const memory = new HeldMemory(1_000, ORDINARY_BYTES, ORDINARY_PART_BYTES);
  const part = memory.reserve(100);
  const reclaimed: number[] = [];
  [100, 300, 200].forEach((bytes) => {
    const spare = part?.createReclaimable(() => reclaimed.push(bytes));
    expect(spare?.grow(bytes)).toBe(true);
  });
  expect(part?.createReclaimable(() => {}).grow(100)).toBe(false);
  expect([memory.bytes, memory.reclaimableBytes]).toEqual([100, 600]);
  expect(part?.grow(400)).toBe(true);
  expect(reclaimed).toEqual([300, 200]);
  expect([memory.bytes, memory.reclaimableBytes]).toEqual([500, 100]);
});

// Guards against parts that are lost to a request which doesn't fit even so.
test('nothing is reclaimed for what has no room even so', () => {
  const memory = new HeldMemory(1_000, ORDINARY_BYTES, ORDINARY_PART_BYTES);
  const spare = memory.reserve(100)?.createReclaimable(() => {});
  spare?.grow(500);
  expect(memory.reserve(700)).toBeUndefined();
  spare?.pin();
  expect(memory.reserve(200)).toBeUndefined();
  expect(memory.reclaimableBytes).toBe(500);
  spare?.unpin();
  expect(memory.reserve(200)).toBeDefined();
  expect(memory.reclaimableBytes).toBe(0);
});

// Guards against kept bodies that stay counted after the end of their request.
test('a reclaimable part is released with the part that it belongs to', () => {
  const memory = new HeldMemory(1_000, ORDINARY_BYTES, ORDINARY_PART_BYTES);
  const part = memory.reserve(100);
  const spare = part?.createReclaimable(() => {});
  spare?.grow(200);
  spare?.pin();
  part?.release();
  spare?.release();
  expect([memory.bytes, memory.reclaimableBytes, spare?.grow(1)]).toEqual([0, 0, false]);
});

// Guards against bytes that arrive always and leave the node above its limit beside kept bodies.
test('bytes that arrive always reclaim what exceeds the limit', () => {
  const memory = new HeldMemory(1_000, ORDINARY_BYTES, ORDINARY_PART_BYTES);
  const spare = memory.reserve(100)?.createReclaimable(() => {});
  spare?.grow(600);
  memory.reserveAlways(400);
  expect([memory.bytes, memory.reclaimableBytes]).toEqual([500, 0]);
});
