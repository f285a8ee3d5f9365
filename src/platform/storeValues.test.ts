import { decodeEndpoint } from './storeValues';

const ENTRY = {
  service: 'writers',
  address: '10.0.0.1:80',
  zone: 'brisbane',
  slots: 4,
  state: 'ready',
};

const decode = (changes: object): ReturnType<typeof decodeEndpoint> =>
  decodeEndpoint('i-1', JSON.stringify({ ...ENTRY, ...changes }));

// Guards against an endpoint that gets no work because of the form of its software version, and
// against a version that is lost or changed when another node relays the entry.
test.each([
  ['a text', { version: 'v1.1' }, 'v1.1'],
  ['a number', { version: 1 }, '1'],
  ['none', {}, undefined],
])('takes a software version: %s', (_name, changes, expected) => {
  const { backEnd, text } = decode(changes);
  expect(backEnd.softwareVersion).toBe(expected);
  expect(decodeEndpoint('i-1', text).backEnd.softwareVersion).toBe(expected);
});

// Guards against an entry of another writer that is taken for an endpoint.
test.each([[{ version: null }], [{ version: {} }], [{ version: true }]])(
  'an entry with %j names no endpoint',
  (changes) => {
    expect(() => decode(changes)).toThrow();
  },
);
