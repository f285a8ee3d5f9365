import fc from 'fast-check';
import { CrashingFleet, FLEET_TIMES } from '../../tests/CrashingFleet';
import { MixedPositions, SharedFirstParts, type PromptPosition } from '../../tests/PromptMix';
import type { RequestFingerprint, RequestPart } from '../core';
import {
  addCrash,
  addSound,
  CRASH_EVIDENCE_OPTIONS,
  expireEvidence,
  mergeEvidence,
  NO_EVIDENCE,
  toCrashSuspect,
  type CrashEvidence,
  type EndpointCrash,
} from './crashEvidence';
import { findHarmfulParts, HARM_OPTIONS } from './findHarmfulParts';

const SEED = 20261204;

const part = (id: string): RequestPart => id as RequestPart;

function crash(atMs: number, ...suspects: ReadonlyArray<string>): EndpointCrash {
  return {
    crashId: `engine@${atMs}`,
    atMs,
    suspects: suspects.map((text) => ({
      parts: text.replace('!', '').split(' ').map(part),
      hadHead: text.endsWith('!'),
    })),
  };
}

function collect(crashes: ReadonlyArray<EndpointCrash>, sound: ReadonlyArray<string> = []) {
  const evidence = crashes.reduce(addCrash, NO_EVIDENCE);
  return sound.reduce((before, text) => {
    const [id, atMs] = text.split(' ');
    return addSound(before, part(id ?? ''), Number(atMs));
  }, evidence);
}

/** Returns the quarantined parts; those that are quarantined together are joined by a `+`. */
const findParts = (evidence: CrashEvidence): ReadonlyArray<string> =>
  findHarmfulParts(evidence)
    .map(({ parts }) => parts.join('+'))
    .sort();

// Guards against a part that is found late, and against refusing the parts, callers or routes that
// sound requests share. A `!` marks a request whose answer had just begun.
test.each([
  ['one crash', [crash(0, 'a x')], [], []],
  ['two crashes', [crash(0, 'a x'), crash(2_000, 'b x')], [], ['x']],
  ['two engines at once', [crash(0, 'a x'), crash(100, 'b x')], [], []],
  ['a known part beside it', [crash(0, 'a x'), crash(2_000, 'a x')], ['a -5'], ['x']],
  ['parts that always come together', [crash(0, 'a x'), crash(2_000, 'a x')], [], ['a+x']],
  ['a deadly part before a new one', [crash(0, 'x a'), crash(2e3, 'x a')], ['a 2500'], ['x']],
  [
    'parts that one crash tells apart',
    [crash(0, 'a x'), crash(2e3, 'a x'), crash(4e3, 'b x')],
    [],
    ['x'],
  ],
  [
    'parts of which one was alone once',
    [crash(0, 'a x'), crash(99, 'x'), crash(2e3, 'a x')],
    [],
    ['x'],
  ],
  ['a known part', [crash(0, 'a'), crash(2_000, 'a')], ['a -5'], []],
  ['a known part, again', [crash(0, 'a'), crash(2e3, 'a'), crash(4e3, 'a')], ['a -5'], ['a']],
  ['sound since', [crash(0, 'x'), crash(2_000, 'x')], ['x 2500'], []],
  ['sound between', [crash(0, 'x'), crash(2_000, 'x'), crash(4e3, 'y')], ['x 1000'], []],
  ['bystanders', [crash(0, 'a x', 'b c'), crash(2e3, 'a x', 'b d')], ['a -5', 'b -5'], ['x']],
  ['a retried bystander', [crash(0, 'x!', 'y'), crash(2_000, 'x!', 'y')], [], ['x']],
  ['different requests', [crash(0, 'x', 'y'), crash(2_000, 'x', 'y')], [], []],
  [
    'different requests, then one alone',
    [crash(0, 'x', 'y'), crash(2_000, 'x', 'y'), crash(4_000, 'x')],
    [],
    ['x'],
  ],
  [
    'two parts by turns',
    [crash(0, 'a x'), crash(2e3, 'b z'), crash(4e3, 'c x'), crash(6e3, 'd z')],
    [],
    ['x', 'z'],
  ],
  [
    'a first part, later ones differ',
    [crash(0, 'x b'), crash(2_000, 'x c'), crash(4_000, 'x d')],
    ['x -5'],
    ['x'],
  ],
] as const)('finds the part: %s', (_name, crashes, sound, expected) => {
  expect(findParts(collect(crashes, sound))).toEqual(expected);
});

/** A crash under an attempt after another endpoint had crashed under it. */
function crashResent(atMs: number, suspect: string): EndpointCrash {
  const resent = suspect.split(' ').filter((id) => id.startsWith('request:'));
  return { ...crash(atMs, suspect), resent: resent as RequestFingerprint[] };
}

// Guards against a repeated request that isn't found, and against sound requests that are refused with
// it because they have the same parts.
test.each([
  ['no prompt', [crash(0, 'request:1'), crash(2e3, 'request:1')], [], ['request:1']],
  [
    'parts that sound requests have',
    [crash(0, 'request:1 a b'), crash(2e3, 'request:1 a b')],
    ['a 1000', 'b 2500'],
    ['request:1'],
  ],
  [
    'parts of which nothing else is known',
    [crash(0, 'request:1 a'), crash(2e3, 'request:1 a')],
    [],
    ['a+request:1'],
  ],
  [
    'other calls at each crash',
    [crash(0, 'request:1', 'request:2'), crash(2e3, 'request:3', 'request:1')],
    [],
    ['request:1'],
  ],
  [
    'a call that others send as well',
    [crash(0, 'request:1', 'request:2'), crash(2e3, 'request:1', 'request:2')],
    ['request:2 1000'],
    ['request:1'],
  ],
  [
    'two endpoints under one attempt',
    [crash(0, 'request:1 a'), crashResent(50, 'request:1 a')],
    [],
    ['a+request:1'],
  ],
  [
    'two endpoints at once under a call that others send as well',
    [crash(0, 'request:1'), crash(50, 'request:1')],
    ['request:1 -5'],
    [],
  ],
  [
    'endpoints at once under a call that comes everywhere',
    [
      crash(0, 'request:1', 'request:2'),
      crash(100, 'request:3', 'request:1'),
      crash(200, 'request:1', 'request:4'),
    ],
    [],
    ['request:1'],
  ],
  [
    'endpoints at once, and a bystander that was sent again',
    [
      crash(0, 'request:1', 'request:2'),
      crash(100, 'request:1'),
      crash(200, 'request:1'),
      crashResent(200, 'request:2'),
    ],
    [],
    ['request:1'],
  ],
  [
    'endpoints at once under one prompt that comes everywhere',
    [crash(0, 'request:1 a'), crash(100, 'request:1 a')],
    [],
    ['a+request:1'],
  ],
  [
    'endpoints at once under different requests',
    [crash(0, 'request:1 a'), crash(100, 'request:2 a'), crash(200, 'request:3 a')],
    [],
    [],
  ],
  [
    'different requests with a harmful part',
    [crash(0, 'request:1 x'), crash(2e3, 'request:2 x')],
    [],
    ['x'],
  ],
  [
    'endpoints under one attempt before another request with the part',
    [crash(0, 'request:1 x'), crashResent(50, 'request:1 x'), crash(4e3, 'request:2 x')],
    [],
    ['x'],
  ],
  [
    'a repeat before another request with the part',
    [crash(0, 'request:1 x'), crash(2e3, 'request:1 x'), crash(4e3, 'request:2 x')],
    [],
    ['x'],
  ],
] as const)('finds the request: %s', (_name, crashes, sound, expected) => {
  expect(findParts(collect(crashes, sound))).toEqual(expected);
});

// Guards against one request that costs an endpoint at each of its trials, for ever.
test('one request is tried twice while its crashes are remembered', () => {
  const { baseHoldMs, maxRequestTrials } = HARM_OPTIONS;
  let atMs = 2_000;
  let evidence = collect([crash(0, 'request:1 x'), crash(atMs, 'request:1 x')]);
  const holdsMs: number[] = [];
  for (let trial = 0; trial <= maxRequestTrials; trial++) {
    const { retryAtMs } = findHarmfulParts(evidence)[0]!;
    holdsMs.push(retryAtMs - atMs);
    atMs = retryAtMs;
    evidence = addCrash(evidence, crash(atMs, 'request:1 x'));
  }
  const { retentionMs } = CRASH_EVIDENCE_OPTIONS;
  expect(holdsMs).toEqual([baseHoldMs, 2 * baseHoldMs, retentionMs]);
});

// Guards against evidence that is merged in another order and then says something else.
test('resent requests merge in any order', () => {
  const first = crash(0, 'request:1 a');
  const again = crashResent(0, 'request:1 a');
  const oneWay = collect([first, again]);
  expect(findParts(oneWay)).toEqual(findParts(collect([again, first])));
  expect(addCrash(oneWay, again)).toBe(oneWay);
  expect(oneWay.crashes[0]?.resent).toEqual(['request:1']);
});

// Guards against a part that isn't found on busy engines: at each crash some sound answers have begun
// so lately that they aren't known as sound yet, while the deadly one has no head.
test('finds the part beside answers with some output', () => {
  const crashes = [0, 2_000].map((atMs) => {
    const bystander = { hadHead: true, outputForMs: 100 };
    const beginning = { hadHead: false, outputForMs: undefined };
    const lost = [
      toCrashSuspect([part('a'), part(`own${atMs}`)], bystander),
      toCrashSuspect([part('a'), part('x')], beginning),
      toCrashSuspect([part('b')], { hadHead: true, outputForMs: 800 }),
    ];
    const suspects = lost.filter((suspect) => suspect !== undefined);
    return { crashId: `engine@${atMs}`, atMs, suspects };
  });
  expect(findParts(collect(crashes, ['a -5']))).toEqual(['x']);
});

// Guards against a part that is never tried again, or so often that engines crash on and on.
test('holds a part longer after each failed trial, up to a bound', () => {
  const { baseHoldMs, maxHoldMs } = HARM_OPTIONS;
  let atMs = 2_000;
  let evidence = collect([crash(0, 'x'), crash(atMs, 'x')]);
  const holdsMs: number[] = [];
  for (let trial = 0; trial < 6; trial++) {
    const { retryAtMs } = findHarmfulParts(evidence)[0]!;
    holdsMs.push(retryAtMs - atMs);
    atMs = retryAtMs;
    evidence = addCrash(evidence, crash(atMs, 'x'));
  }
  expect(holdsMs).toEqual([1, 2, 4, 8, 8, 8].map((factor) => factor * baseHoldMs));
  expect(holdsMs.at(-1)).toBe(maxHoldMs);
});

// Guards against evidence that grows with what callers invent, or that is kept for good.
test('evidence is bounded and expires', () => {
  let evidence = NO_EVIDENCE;
  for (let index = 0; index < 500; index++) {
    const suspects = Array.from({ length: 40 }, (_, number) => `a${index} b${number}`);
    evidence = addCrash(evidence, crash(index * 10, ...suspects));
    evidence = addSound(evidence, part(`a${index}`), index * 10 - 1);
    evidence = addSound(evidence, part(`c${index}`), index * 10);
  }
  const { maxCrashes, maxSuspectsPerCrash, retentionMs } = CRASH_EVIDENCE_OPTIONS;
  expect(evidence.crashes).toHaveLength(maxCrashes);
  expect(Math.max(...evidence.crashes.map(({ suspects }) => suspects.length))).toBe(
    maxSuspectsPerCrash,
  );
  expect(expireEvidence(evidence, 0).soundAtMs.size).toBeLessThanOrEqual(maxCrashes);
  expect(expireEvidence(evidence, 5_000 + retentionMs)).toEqual(NO_EVIDENCE);
});

const crashArbitrary = fc.record({
  crashId: fc.integer({ min: 0, max: 5 }).map(String),
  atMs: fc.integer({ min: 0, max: 10_000 }),
  suspects: fc.array(
    fc.record({
      parts: fc.array(fc.constantFrom('a', 'b', 'c', 'x').map(part), {
        minLength: 1,
        maxLength: 3,
      }),
      hadHead: fc.boolean(),
    }),
    { minLength: 1, maxLength: 3 },
  ),
});

// Guards against nodes that quarantine different parts although they have heard the same, and
// against evidence that nodes send each other for ever.
test('merged evidence is the same in any order, and merging it again changes nothing', () => {
  fc.assert(
    fc.property(fc.array(crashArbitrary, { maxLength: 8 }), fc.boolean(), (reports, isReversed) => {
      // A crash has the same time at all nodes here; their clocks are the next test's.
      const crashes = reports.map((report) => ({ ...report, atMs: Number(report.crashId) * 700 }));
      const forward = crashes.reduce(addCrash, NO_EVIDENCE);
      const other = [...crashes].reverse().reduce(addCrash, NO_EVIDENCE);
      const merged = isReversed ? mergeEvidence(other, forward) : mergeEvidence(forward, other);
      expect(merged).toBe(isReversed ? other : forward);
      expect(findParts(other)).toEqual(findParts(forward));
    }),
    { seed: SEED, numRuns: 500 },
  );
});

const SIZES = [
  { nodes: 8, engines: 6, requestsPerSecond: 4 },
  { nodes: 59, engines: 31, requestsPerSecond: 37 },
  { nodes: 195, engines: 41, requestsPerSecond: 38 },
] as const;

const FLEET_TIMEOUT_MS = 120_000;

// Guards against engines that crash on and on, at any node, and against sound requests that are
// refused for the parts or the caller that they share with those that crash engines.
test.each(SIZES)(
  '$nodes nodes stop the crashes and refuse few sound requests',
  (size) => {
    const check = (seed: number, deadlyShare: number, deadlyParts: ReadonlyArray<string>): void => {
      const prompts = new SharedFirstParts(deadlyParts);
      const options = { ...size, seed, deadlyShare, deadlyParts, prompts, otherCrashShare: 0.05 };
      const fleet = new CrashingFleet(options);
      fleet.play();
      // Some that tell the parts apart and a failed trial, besides those under way until all know.
      const { exchangeMs, prefillMs } = FLEET_TIMES;
      const deadlyPerMs = (size.requestsPerSecond * deadlyShare) / 1_000;
      const underWay = Math.ceil(deadlyPerMs * (2 * exchangeMs + prefillMs) * 1.5);
      fleet.deadlyCrashes.forEach((count) => {
        expect(count).toBeLessThanOrEqual(6 + underWay);
      });
      expect(fleet.refusedSoundRequests / fleet.soundRequests).toBeLessThan(0.05);
    };
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1e6 }),
        fc.constantFrom(0.05, 0.3),
        fc.constantFrom(['x'], ['x', 'z']),
        check,
      ),
      { seed: SEED, numRuns: 12 },
    );
  },
  FLEET_TIMEOUT_MS,
);

// Guards against parts that are quarantined because engines crash for another reason.
test.each(SIZES)(
  '$nodes nodes blame no part for other crashes',
  (size) => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1e6 }), (seed) => {
        const deadly = { deadlyShare: 0, deadlyParts: [], prompts: new SharedFirstParts([]) };
        const fleet = new CrashingFleet({ ...size, ...deadly, seed, otherCrashShare: 0.3 });
        fleet.play();
        expect([...fleet.quarantinedParts]).toEqual([]);
      }),
      { seed: SEED, numRuns: 12 },
    );
  },
  FLEET_TIMEOUT_MS,
);

/** Time for which a fleet may go on sending requests after the fifth crash, before they count. */
const CONTACT_MS = 3_000;

/** Requests that may reach engines after that. */
const MAX_LATE_CRASHES = 3;

/** Share of the sound requests that may be refused once the parts have had time to be told apart. */
const MAX_REFUSED_SHARE = 0.5;

const positionsArbitrary = fc.array(
  fc.record({ choices: fc.integer({ min: 1, max: 3 }), isShared: fc.boolean() }),
  { maxLength: 3 },
);

// Guards against sound requests that are refused for a part that they share with deadly ones, wherever
// that part stands, whether it was known before or not; and against more crashes for their sake.
test(
  'parts of every mix are told apart within the crashes that are allowed',
  () => {
    const check = (
      seed: number,
      before: ReadonlyArray<PromptPosition>,
      after: ReadonlyArray<PromptPosition>,
      soundFromMs: number,
      deadlyShare: number,
    ): void => {
      const fleet = new CrashingFleet({
        seed,
        nodes: 8,
        engines: 6,
        requestsPerSecond: 6,
        deadlyShare,
        deadlyParts: ['x'],
        prompts: new MixedPositions(before, 'x', after),
        otherCrashShare: 0,
        soundFromMs,
      });
      fleet.play();
      const times = fleet.deadlyCrashTimesMs;
      const lateFromMs = (times[4] ?? Infinity) + CONTACT_MS + FLEET_TIMES.prefillMs;
      expect(times.filter((atMs) => atMs > lateFromMs).length).toBeLessThanOrEqual(
        MAX_LATE_CRASHES,
      );
      const decisiveMs = times[Math.min(times.length, 5) - 1] ?? 0;
      const sinceMs = Math.max(decisiveMs + 2 * CONTACT_MS, soundFromMs);
      const refused = fleet.refusalTimesMs.filter((atMs) => atMs > sinceMs).length;
      const { lengthMs } = FLEET_TIMES;
      const sent = (fleet.soundRequests * (lengthMs - sinceMs)) / (lengthMs - soundFromMs);
      expect(refused / sent).toBeLessThan(MAX_REFUSED_SHARE);
    };
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1e6 }),
        positionsArbitrary,
        positionsArbitrary,
        fc.constantFrom(0, 6_000, 12_000, 20_000),
        fc.constantFrom(0.1, 0.3, 0.6),
        check,
      ),
      { seed: SEED, numRuns: 150 },
    );
  },
  FLEET_TIMEOUT_MS,
);
