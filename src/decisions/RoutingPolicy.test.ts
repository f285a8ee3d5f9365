import fc from 'fast-check';
import { ReserveByQuantilePolicy } from './ReserveByQuantilePolicy';
import { createEngineView, createRequest } from './routingFixtures';
import { getRegisteredRoutingPolicies } from './RoutingPolicy';
import { SeededRandom } from './SeededRandom';
import './LeastOutstandingPolicy';
import './RandomPolicy';
import './RoundRobinPolicy';
import './TwoChoicesPolicy';

const CONTEXT = { nowMs: 10_000, decidingNodes: 2 };
const POLICIES = getRegisteredRoutingPolicies().map((policy) => [policy.type, policy] as const);

function fill(memoryUsedTokens: number) {
  return { report: { ...createEngineView(0).report!, memoryUsedTokens, running: 1 } };
}

// Guards against routing to an endpoint that is leaving or already failed for the request.
test.each(POLICIES)('%s chooses only assignable endpoints', (_type, Policy) => {
  const flags = fc.array(fc.tuple(fc.boolean(), fc.boolean()), { minLength: 1, maxLength: 12 });
  fc.assert(
    fc.property(flags, fc.nat(), (endpoints, seed) => {
      const views = endpoints.map(([isAllowed], index) =>
        createEngineView(index, {
          assignable: isAllowed ? { allowed: true } : { allowed: false, reason: 'it leaves' },
        }),
      );
      const excluded = views.filter((_, i) => endpoints[i]![1]).map((view) => view.endpointId);
      const policy = new Policy(new SeededRandom(seed));
      const verdict = policy.decide(createRequest({ excluded }), views, CONTEXT);
      const usable = views.filter(
        ({ assignable, endpointId }) => assignable.allowed && !excluded.includes(endpointId),
      );
      if (usable.length === 0) {
        expect(verdict).toMatchObject({ outcome: 'refuse' });
        expect(verdict.reason).toContain(verdict.clause);
      } else {
        const chosen = verdict.outcome === 'route' ? verdict.endpointId : undefined;
        expect(usable.map(({ endpointId }) => endpointId)).toContain(chosen);
      }
    }),
    { seed: 1, numRuns: 200 },
  );
});

// Guards against preemption, by routing to an engine without memory for the predicted length.
test('waits when no engine has memory for the predicted length', () => {
  const policy = new ReserveByQuantilePolicy(new SeededRandom(1));
  const full = [createEngineView(0, fill(9_800)), createEngineView(1, fill(9_900))];
  const verdict = policy.decide(createRequest(), full, CONTEXT);
  expect(verdict).toMatchObject({ outcome: 'wait', clause: 'kindsOfWork[0].maxWaitMs' });
});

// Guards against traffic on the link between regions, which is billed, while the home region has
// capacity.
test('leaves the home region only when it has no capacity', () => {
  const { vm } = createEngineView(0);
  const far = createEngineView(1, { vm: { ...vm, region: 'fnq' } });
  for (let seed = 0; seed < 50; seed++) {
    const policy = new ReserveByQuantilePolicy(new SeededRandom(seed));
    const chooseBeside = (near: typeof far) => policy.decide(createRequest(), [near, far], CONTEXT);
    expect(chooseBeside(createEngineView(0, fill(5_000)))).toMatchObject({
      endpointId: 'engine-0',
    });
    expect(chooseBeside(createEngineView(0, fill(9_900)))).toMatchObject({
      endpointId: 'engine-1',
    });
  }
});

// Guards against all nodes with the same reports choosing the same engine.
test('spreads choices over engines with equal reports', () => {
  const views = Array.from({ length: 6 }, (_, index) => createEngineView(index));
  const chosen = Array.from({ length: 60 }, (_, seed) => {
    const policy = new ReserveByQuantilePolicy(new SeededRandom(seed));
    const verdict = policy.decide(createRequest(), views, CONTEXT);
    return verdict.outcome === 'route' ? verdict.endpointId : undefined;
  });
  expect(new Set(chosen).size).toBe(6);
});

// Guards against following a cached prefix to an engine where the generation would take longer.
test.each([
  ['follows a long cached prompt', 4_000, 0, true],
  ['leaves a short cached prompt', 10, 50, false],
])('%s', (_name, promptTokens, running, isFollowed) => {
  const { report } = createEngineView(0);
  const holder = createEngineView(0, { holdsPrefix: true, report: { ...report!, running } });
  const others = [1, 2, 3, 4, 5].map((index) => createEngineView(index));
  const counts = Array.from({ length: 40 }, (_, seed) => {
    const policy = new ReserveByQuantilePolicy(new SeededRandom(seed), { typicalQuantile: 0.5 });
    return policy.decide(createRequest({ promptTokens }), [holder, ...others], CONTEXT);
  }).filter((verdict) => verdict.outcome === 'route' && verdict.endpointId === 'engine-0').length;
  if (isFollowed) expect(counts).toBe(40);
  else expect(counts).toBeLessThan(20);
});
