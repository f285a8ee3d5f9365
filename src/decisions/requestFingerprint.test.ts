import type { CustomerId } from '../core';
import {
  computeBodyDigest,
  computeRequestFingerprint,
  FINGERPRINTED_BODY_BYTES,
} from './requestFingerprint';

const REQUEST = { method: 'POST', target: '/a?b=1', customer: 'cafe-1' as CustomerId };

const compute = (changes: Partial<typeof REQUEST>, body = 'body'): string =>
  computeRequestFingerprint({ ...REQUEST, ...changes }, computeBodyDigest(Buffer.from(body)));

// Guards against a repeated request that isn't recognised.
test('the same request has the same fingerprint', () => {
  expect(compute({})).toBe(compute({}));
  expect(compute({})).toMatch(/^request:[\w-]{22}$/);
});

// Guards against requests that are refused for another one.
test.each([
  ['method', compute({ method: 'PUT' })],
  ['path', compute({ target: '/b?b=1' })],
  ['query', compute({ target: '/a?b=2' })],
  ['customer', compute({ customer: 'cafe-2' as CustomerId })],
  ['no customer', compute({ customer: undefined })],
  ['body', compute({}, 'other')],
  ['no body', compute({}, '')],
  ['text moved between fields', compute({ method: 'POST/a', target: '?b=1' })],
])('another %s has another fingerprint', (_name, other) => {
  expect(other).not.toBe(compute({}));
});

// Guards against a long body whose fingerprint depends on how it arrived.
test('only the first bytes of a long body count', () => {
  const first = Buffer.alloc(FINGERPRINTED_BODY_BYTES, 'x');
  const longer = Buffer.concat([first, Buffer.from('rest')]);
  expect(computeBodyDigest(longer)).toBe(computeBodyDigest(first));
  expect(computeBodyDigest(first.subarray(1))).not.toBe(computeBodyDigest(first));
});
