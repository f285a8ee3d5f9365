import { MetadataStore } from '../../stand-ins/MetadataStore';
import { StoreSource } from './StoreSource';

let store: MetadataStore;

beforeEach(async () => {
  store = await MetadataStore.start();
  for (let index = 0; index < 8; index++) store.put(`servers/i-${index}`, {});
});

afterEach(async () => store.stop());

const { signal } = new AbortController();

// Guards against a list that is put together from two histories, of which one was lost.
test('a full read over a change of the era is no answer', async () => {
  const source = new StoreSource(store.url);
  const copy = store.createCopy();
  store.onCall = () => {
    if (store.calls === 3) store.restore(copy);
  };
  await expect(source.readAll(signal)).rejects.toThrow('era');
  expect(source.newestEra).toBe(2);
  expect((await source.readAll(signal)).position).toEqual({ era: 2, revision: copy.revision });
});

// Guards against a node that hears of the return only when the store serves it again.
test('an error tells the era', async () => {
  const source = new StoreSource(store.url);
  store.restore(store.createCopy());
  store.behaviour = 'unavailable';
  await expect(source.readAll(signal)).rejects.toThrow('503');
  expect(source.newestEra).toBe(2);
});

// Guards against a watch that goes on in another history as if it were the same.
test('a watch shows the era in which it was answered', async () => {
  const source = new StoreSource(store.url);
  const { position } = await source.readAll(signal);
  store.restore(store.createCopy());
  expect((await source.readChanges(position, 0, signal))?.position.era).toBe(2);
  expect(await source.readChanges({ era: 2, revision: 99 }, 0, signal)).toBeUndefined();
});
