import { decideRestart, type RestartView } from './restart';

const view: RestartView = {
  failure: 'engine-lost',
  startedGenerations: 1,
  refusals: 0,
  attempts: 2,
  maxRefusals: 3,
  canRestart: true,
};

// Guards against more generations than the contract allows, and a restart after partial output.
test.each<[string, Partial<RestartView>, boolean]>([
  ['restarts within the attempts', {}, true],
  ['stops at the last attempt', { startedGenerations: 2 }, false],
  ['stops when a part was sent', { canRestart: false }, false],
  ['stops at a fault of the request', { failure: 'malformed-request' }, false],
  ['tries another engine after a refusal', { failure: 'overloaded', attempts: 1 }, true],
  ['stops after many refusals', { failure: 'overloaded', refusals: 3 }, false],
  ['restarts after a position gap', { failure: 'position-gap' }, true],
])('%s', (_name, change, restart) => {
  expect(decideRestart({ ...view, ...change }).restart).toBe(restart);
});
