import type { ServingBounds, SourcePosition, VmId } from '../../core';
import { TestKernel } from '../../kernel/TestKernel';
import { Members, Peers, ServingMetrics } from '../../services';
import { DeploymentStore } from './DeploymentStore';
import type { RelayReply } from './relayMessages';
import { RelayTask } from './RelayTask';

const bounds = { revocationWithinMs: 5_000 } as ServingBounds;
const at = (era: number, revision: number): SourcePosition => ({ era, revision });

/** Returns the store of a node at a position after one reply of the reader that it follows. */
async function applyReply(
  known: SourcePosition,
  reply: Pick<RelayReply, 'completeTo' | 'newestEra'>,
): Promise<DeploymentStore> {
  const kernel = new TestKernel([]);
  const store = new DeploymentStore(kernel, bounds, new Map());
  store.enterEra(known.era);
  store.markCompleteTo(known);
  const body = { ...reply, eraStart: at(0, 0), confirmedAgeMs: 100, configurationAgeMs: 100 };
  kernel.provide(Peers, { call: async () => body } as unknown as Peers);
  kernel.provide(Members, { listReaders: () => ['front-2' as VmId] } as unknown as Members);
  kernel.provide(ServingMetrics, { countSourceEra: () => {} } as unknown as ServingMetrics);
  const end = new AbortController();
  void new RelayTask(kernel, store).run(end.signal);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  end.abort();
  return store;
}

// Guards against a copy of an older era that counts as a confirmation of what the newer one holds,
// and against a node that doesn't follow its reader into a newer era.
test.each([
  ['a later revision of the era', at(2, 9), 2, 100, at(2, 9)],
  ['an older era', at(1, 90), 1, Infinity, at(2, 5)],
  ['an older era, of a node that has heard of a newer one', at(2, 9), 3, Infinity, at(2, 5)],
  ['a newer era', at(3, 2), 3, 100, at(3, 2)],
])('a reply with %s', async (_name, completeTo, newestEra, ageMs, position) => {
  const store = await applyReply(at(2, 5), { completeTo, newestEra });
  expect(store.getConfirmedAgeMs()).toBe(ageMs);
  expect(store.completeTo).toEqual(position);
});

// Guards against a watch that goes on in the older era after the node has heard of a newer one.
test('hearing of a newer era ends the watch', async () => {
  const store = await applyReply(at(2, 5), { completeTo: at(2, 5), newestEra: 2 });
  const watch = store.watchForInterruption();
  store.hearOfEra(3);
  expect(watch.signal.aborted).toBe(true);
  expect(store.isEraOver).toBe(true);
});

// Guards against a reader that never learns a version or a departure that the source has lost, as it
// reads the source itself.
test('a reader asks another node once in each era', async () => {
  const kernel = new TestKernel([]);
  const store = new DeploymentStore(kernel, bounds, new Map());
  let calls = 0;
  const call = async (): Promise<unknown> => {
    calls += 1;
    const { completeTo, newestEra } = store;
    return {
      completeTo,
      newestEra,
      eraStart: at(0, 0),
      confirmedAgeMs: 100,
      configurationAgeMs: 100,
    };
  };
  kernel.provide(Peers, { call } as unknown as Peers);
  const members = { listReaders: () => [], listLive: () => [{ vmId: 'front-2' }] };
  kernel.provide(Members, members as unknown as Members);
  kernel.provide(ServingMetrics, { countSourceEra: () => {} } as unknown as ServingMetrics);
  const end = new AbortController();
  void new RelayTask(kernel, store).run(end.signal);
  for (const era of [2, 3]) {
    store.enterEra(era);
    store.markCompleteTo(at(era, 5));
    for (let timeMs = 0; timeMs < 1_000; timeMs += 50) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      kernel.manualClock.advance(50);
    }
    expect(calls).toBe(era - 1);
  }
  end.abort();
});
