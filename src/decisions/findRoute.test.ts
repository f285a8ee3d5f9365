import { chooseService, findRoute } from './findRoute';
import { createConfiguration, createRoute } from './servingFixtures';

const configuration = createConfiguration({
  routes: [
    createRoute({ name: 'short', pathPrefix: '/a/' }),
    createRoute({ name: 'long', pathPrefix: '/a/b/' }),
    createRoute({ name: 'other', host: 'other.example', pathPrefix: '/a/b/c/' }),
  ],
});

// Guards against matching the wrong route.
test.each([
  ['desk.example', '/a/x', 'short'],
  ['desk.example', '/a/b/x', 'long'],
  ['desk.example', '/a/b', 'short'],
  ['desk.example:8740', '/a/b/?q=/a/', 'long'],
  ['DESK.example', '/a/', 'short'],
  ['desk.example', '/a', undefined],
  ['desk.example', '/x?/a/b/', undefined],
  ['unknown.example', '/a/', undefined],
])('route of %s%s is %s', (host, target, expected) => {
  expect(findRoute(configuration, host, target)?.name).toBe(expected);
});

// Guards against a split that deviates from the weights.
test('splits by weight', () => {
  const targets = [
    { service: 'old', weight: 90 },
    { service: 'new', weight: 10 },
    { service: 'none', weight: 0 },
  ];
  const route = createRoute({ targets });
  const chosen = Array.from({ length: 4_000 }, (_, index) => chooseService(route, `id-${index}`));
  const share = chosen.filter((service) => service === 'new').length / chosen.length;
  expect(share).toBeGreaterThan(0.08);
  expect(share).toBeLessThan(0.12);
  expect(chosen).not.toContain('none');
});
