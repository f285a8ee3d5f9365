import type { BackEnd, EndpointId, ServingBounds, SourcePosition } from '../../core';
import { TestKernel } from '../../kernel/TestKernel';
import { ServingMetrics } from '../../services';
import type { Departure } from './DepartureMemory';
import { DeploymentStore } from './DeploymentStore';

const bounds = { revocationWithinMs: 4_000 } as ServingBounds;
const endpointId = 'i-1' as EndpointId;

/** Longer than departures are remembered. */
const FORGOTTEN_AFTER_S = 700;

const engine: BackEnd = {
  endpointId,
  service: 'writers',
  address: '10.0.0.1:80',
  dataCentre: 'brisbane',
  slots: 4,
  isLeaving: false,
  warmUpMs: 0,
  startedAtWallMs: 100,
};

const at = (era: number, revision: number): SourcePosition => ({ era, revision });

function createStore(): { readonly kernel: TestKernel; readonly store: DeploymentStore } {
  const kernel = new TestKernel([]);
  kernel.provide(ServingMetrics, { countSourceEra: () => {} } as unknown as ServingMetrics);
  return { kernel, store: new DeploymentStore(kernel, bounds, new Map()) };
}

function put(
  store: DeploymentStore,
  position: SourcePosition,
  change: Partial<BackEnd> = {},
): void {
  store.applyEndpoint({ ...engine, ...change }, { key: 'servers/i-1', text: '{}', position });
}

/** Applies a full read, with the entry at a position or without it. */
function readAll(store: DeploymentStore, position: SourcePosition, entry?: SourcePosition): void {
  store.enterEra(position.era);
  store.noteEraStart(position);
  if (entry) put(store, entry);
  else store.removeEndpoint(endpointId, position);
  store.markCompleteTo(position);
}

function depart(position: SourcePosition): Departure {
  return { endpointId, startedAtWallMs: engine.startedAtWallMs, position, atMs: 0 };
}

function countAssignable(store: DeploymentStore): number {
  return store.listAssignable('writers').length;
}

// Guards against an engine that is ignored for good after another writer has left an entry with a
// start far in the future under its key.
test('the next entry of an engine follows one from the future', () => {
  const { store } = createStore();
  readAll(store, at(1, 10), at(1, 9));
  put(store, at(1, 11), { startedAtWallMs: 8e15, address: '10.9.9.9:1' });
  put(store, at(1, 12));
  expect(store.find(endpointId)?.address).toBe('10.0.0.1:80');
});

// Guards against an engine that is ignored after a restart for which its clock was set back.
test('a restart with an earlier clock registers anew within an era', () => {
  const { store } = createStore();
  readAll(store, at(1, 10), at(1, 9));
  put(store, at(1, 11), { isLeaving: true });
  store.removeEndpoint(endpointId, at(1, 12));
  put(store, at(1, 13), { startedAtWallMs: 90 });
  expect(countAssignable(store)).toBe(1);
});

// Guards against new work for an engine that has left, by a node whose own read lacked its entry.
test('a departure reaches a node whose read lacked the entry', () => {
  const { store } = createStore();
  put(store, at(1, 40));
  store.markCompleteTo(at(1, 100));
  store.hearOfEra(2);
  store.noteEraStart(at(2, 50));
  store.enterEra(2);
  store.noteEraStart(at(2, 53));
  store.removeEndpoint(endpointId, at(2, 53));
  store.markCompleteTo(at(2, 53));
  store.applyDeparture(depart(at(1, 101)));
  expect(countAssignable(store)).toBe(0);
});

// Guards against a live engine without work for good: its lease had lapsed before the source came back
// from a copy that lists it, and its entry doesn't change again.
test('a held entry is used once its departure is forgotten', () => {
  const { kernel, store } = createStore();
  readAll(store, at(1, 10), at(1, 9));
  store.removeEndpoint(endpointId, at(1, 14));
  readAll(store, at(2, 12), at(2, 9));
  for (let second = 0; second < FORGOTTEN_AFTER_S; second++) {
    kernel.manualClock.advance(1_000);
    store.sweep();
  }
  readAll(store, at(2, 30), at(2, 9));
  expect(countAssignable(store)).toBe(1);
});

// Guards against new work for an engine that left in an era, after the source has come back from a
// copy of the era before it.
test('a departure holds against a copy of an earlier era', () => {
  const { store } = createStore();
  readAll(store, at(1, 120), at(1, 120));
  readAll(store, at(2, 50), at(2, 40));
  put(store, at(2, 55), { isLeaving: true });
  readAll(store, at(3, 150), at(3, 120));
  expect(countAssignable(store)).toBe(0);
});

// Guards against an engine without work: a node that knew its departure by word only held its entry
// back, and drops it when the entry turns out to be written anew.
test('a held entry of an unknown endpoint is released', () => {
  const { store } = createStore();
  store.hearOfEra(2);
  store.applyDeparture(depart(at(1, 100)));
  readAll(store, at(2, 80), at(2, 60));
  store.noteEraStart(at(2, 51));
  expect(countAssignable(store)).toBe(1);
});

// Guards against the loss of an engine that registered anew in an era, when a slow node tells its
// older departure in the next one.
test('a registration of an era holds when the next one is heard of', () => {
  const { store } = createStore();
  readAll(store, at(1, 100), at(1, 40));
  store.removeEndpoint(endpointId, at(1, 100));
  readAll(store, at(2, 51), at(2, 40));
  put(store, at(2, 60));
  store.hearOfEra(3);
  store.noteEraStart(at(3, 58));
  store.applyDeparture(depart(at(1, 100)));
  expect(countAssignable(store)).toBe(1);
});
