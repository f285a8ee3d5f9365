import {
  chooseKeepers,
  decideOrigin,
  EMPTY_HISTORY,
  needsHistory,
  rankKeepers,
  type OriginEvidence,
} from './streamOrigin';

const WINDOW_MS = 12_000;

const EVIDENCE: OriginEvidence = {
  service: 'writers',
  records: [],
  sightings: [{ versions: ['v1'], coveredForMs: WINDOW_MS }],
  newestStartAgeMs: WINDOW_MS,
  windowMs: WINDOW_MS,
  history: EMPTY_HISTORY,
};

const NEW_NODE = { versions: ['v1'], coveredForMs: 900 };
const TWO = { versions: ['v1', 'v2'], coveredForMs: WINDOW_MS };
const RECORD = { service: 'writers', softwareVersion: 'v2' };

const decide = (changes: Partial<OriginEvidence>): string => {
  const verdict = decideOrigin({ ...EVIDENCE, ...changes });
  return verdict.outcome === 'known' ? verdict.origin.softwareVersion : 'unknown';
};

// Guards against a guess between versions that may have begun the stream, and against refusing streams
// where only one can have.
test.each([
  ['one version all the time', {}, 'v1'],
  ['one version, an endpoint started lately', { newestStartAgeMs: 500 }, 'v1'],
  ['two versions', { sightings: [TWO] }, 'unknown'],
  ['two versions and a record', { sightings: [TWO], records: [RECORD] }, 'v2'],
  ['a record of a version that has left', { records: [RECORD] }, 'v2'],
  ['a new node, old endpoints', { sightings: [NEW_NODE] }, 'v1'],
  [
    'a new node, an endpoint started lately',
    { sightings: [NEW_NODE], newestStartAgeMs: 500 },
    'unknown',
  ],
  [
    'a new node, a history with its version',
    { sightings: [NEW_NODE], history: { ...EMPTY_HISTORY, versions: ['v1'] } },
    'v1',
  ],
  [
    'a new node, a history with another version',
    { sightings: [NEW_NODE], history: { ...EMPTY_HISTORY, versions: ['v1', 'v0'] } },
    'unknown',
  ],
  [
    'a new node, a history with unknown removals',
    { sightings: [NEW_NODE], history: { ...EMPTY_HISTORY, hasUnknownRemovals: true } },
    'unknown',
  ],
  ['a new node, no history', { sightings: [NEW_NODE], history: undefined }, 'unknown'],
  ['a node that has followed the list, no history', { history: undefined }, 'v1'],
  [
    'a new node that others tell of one version',
    { sightings: [NEW_NODE, { versions: ['v1'], coveredForMs: WINDOW_MS }], newestStartAgeMs: 500 },
    'v1',
  ],
  ['a new node that others tell of two', { sightings: [NEW_NODE, TWO] }, 'unknown'],
  [
    'two new nodes that see different versions',
    { sightings: [NEW_NODE, { versions: ['v2'], coveredForMs: 900 }] },
    'unknown',
  ],
  ['no endpoint', { sightings: [{ versions: [], coveredForMs: WINDOW_MS }] }, 'unknown'],
  ['an unstated version', { sightings: [{ versions: [''], coveredForMs: WINDOW_MS }] }, ''],
] as const)('decides where a stream began: %s', (_name, changes, expected) => {
  expect(decide(changes)).toBe(expected);
});

// Guards against reading the history for each stream, which is paid for, and against not reading it
// where nothing else tells of versions that have left.
test.each([
  ['one version all the time', {}, false],
  ['a record', { sightings: [NEW_NODE], records: [RECORD] }, false],
  ['two versions', { sightings: [TWO] }, false],
  ['an endpoint started lately', { sightings: [NEW_NODE], newestStartAgeMs: 500 }, false],
  ['new nodes', { sightings: [NEW_NODE], history: undefined }, true],
] as const)('needs the history: %s', (_name, changes, expected) => {
  expect(needsHistory({ ...EVIDENCE, ...changes })).toBe(expected);
});

const listNodes = (count: number): ReadonlyArray<string> =>
  Array.from({ length: count }, (_, index) => `front-${index}`);

// Guards against a node that asks others than those that were told, as the two see different lists.
test.each([9, 59, 195, 370])('keepers of %i nodes are found after a third is lost', (count) => {
  const nodes = listNodes(count);
  let found = 0;
  for (let index = 0; index < 300; index++) {
    const requestId = `r-${index}`;
    const begin = nodes[index % count]!;
    const told = chooseKeepers(
      requestId,
      nodes.filter((id) => id !== begin),
    );
    const alive = nodes.filter((id, position) => id !== begin && position % 3 !== 0);
    const asking = alive[index % alive.length]!;
    const asked = rankKeepers(
      requestId,
      alive.filter((id) => id !== asking),
    );
    if ([asking, ...asked].some((id) => told.includes(id))) found += 1;
  }
  expect(found).toBeGreaterThan(240);
});

// Guards against a large fleet in which every node has a link to every other one.
test('a large fleet has few keepers', () => {
  const nodes = listNodes(370);
  const keepers = new Set(
    listNodes(2_000).flatMap((requestId) => rankKeepers(requestId, nodes.slice(1))),
  );
  expect(keepers.size).toBeLessThanOrEqual(40);
});
