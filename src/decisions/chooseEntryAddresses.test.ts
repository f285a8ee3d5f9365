import { chooseEntryAddresses, type EntryNode } from './chooseEntryAddresses';

function createNode(callerAddress: string, dataCentre: string, takesCallers = true): EntryNode {
  return { callerAddress, dataCentre, region: dataCentre.slice(0, 3), takesCallers };
}

const nodes = [
  createNode('b1', 'seq-b'),
  createNode('b2', 'seq-b'),
  createNode('g1', 'seq-g'),
  createNode('c1', 'fnq-c'),
];

// Guards against callers that are sent over the slow link, or to nodes that don't take them.
test.each([
  ['of the data centre', nodes, 'seq-b', 'seq', 'b1 b2'],
  ['of the region when one alone is near', nodes, 'seq-g', 'seq', 'b1 b2 g1'],
  ['of all regions when one alone is in the region', nodes, 'fnq-c', 'fnq', 'b1 b2 g1 c1'],
  [
    'without those that take no callers',
    [createNode('x', 'seq-b', false), ...nodes],
    'seq-b',
    'seq',
    'b1 b2',
  ],
  ['all when none takes callers', [createNode('x', 'seq-b', false)], 'seq-b', 'seq', 'x'],
  ['for a caller that says nothing', nodes, undefined, undefined, 'b1 b2 g1 c1'],
])('names the nodes %s', (_name, known, dataCentre, region, expected) => {
  expect(chooseEntryAddresses(known, { dataCentre, region }).join(' ')).toBe(expected);
});
