/**
 * Finds the parts of prompts that crash endpoints ("queries of death") in the evidence of crashes,
 * and decides when a request with such a part may be tried again.
 *
 * A part is blamed for a crash if a request with it was beginning there and none with it has begun
 * well since. A crash has one cause: it counts for the part that explains most crashes, and no
 * longer for the other parts of the requests that were lost with it. So parts that sound requests
 * share, and those of bystanders, aren't blamed for what another part explains.
 *
 * Parts that came together in every crash can't be told apart by the crashes, so they are quarantined
 * together: only requests with all of them are held back. A request with some of them tells them
 * apart, whether it begins well or crashes its endpoint.
 *
 * A whole request counts as one more part, its fingerprint. Under a request that comes again and again,
 * the fingerprint and the parts of its prompt come together in every crash, so only that request is held
 * back. Under different requests with a harmful part, each fingerprint comes once and isn't blamed.
 */
import { isFingerprint, type RequestPart } from '../core';
import {
  CRASH_EVIDENCE_OPTIONS,
  type CrashEvidence,
  type CrashSuspect,
  type EndpointCrash,
} from './crashEvidence';

export const HARM_OPTIONS = {
  /** Crashes under different requests count once if closer: a rack can take several endpoints at once. */
  minGapMs: 500,
  /** Crashes for which a part is quarantined; a part that has ever been sound needs one more. */
  minCrashes: 2,
  /** Crashes for which parts of different requests are quarantined that nothing tells apart. */
  minCrashesIfInseparable: 4,
  /** Crashes from which requests with some of the parts are tried one at a time. */
  singleTrialsFromCrashes: 4,
  /** Time after a crash until one request is tried; doubles with each failed trial. */
  baseHoldMs: 15_000,
  maxHoldMs: 120_000,
  /** Failed trials of one request after which it is held for as long as its crashes are remembered. */
  maxRequestTrials: 2,
} as const;

/** Parts that are quarantined together; only one unless nothing tells them apart yet. @public */
export interface HarmfulParts {
  /** In a fixed order, the same at all nodes. */
  readonly parts: ReadonlyArray<RequestPart>;
  readonly crashes: number;
  /** From when on one request with all of the parts may be tried. */
  readonly retryAtMs: number;
}

/** Returns a text that identifies the parts. @public */
export function getHarmfulKey({ parts }: Pick<HarmfulParts, 'parts'>): string {
  return parts.join(' ');
}

interface Candidate {
  readonly part: RequestPart;
  readonly crashes: ReadonlyArray<EndpointCrash>;
  /** Number of crashes with a gap between them, less one for a part that has been sound. */
  readonly score: number;
}

/** If the endpoint was beginning to write answers, those requests; otherwise all that were lost. */
function listLikelySuspects({ suspects }: EndpointCrash): ReadonlyArray<CrashSuspect> {
  const beginning = suspects.filter(({ hadHead }) => hadHead);
  return beginning.length > 0 ? beginning : suspects;
}

function listRequests(
  suspects: ReadonlyArray<CrashSuspect>,
  part: RequestPart,
): ReadonlyArray<RequestPart> {
  return suspects
    .filter(({ parts }) => parts.includes(part))
    .flatMap(({ parts }) => parts.filter(isFingerprint));
}

/** Whether a request with the part was sent there after another endpoint had crashed under it. */
function wasResent({ suspects, resent = [] }: EndpointCrash, part: RequestPart): boolean {
  return listRequests(suspects, part).some((request) => resent.some((other) => other === request));
}

/**
 * Counts crashes that can't have one cause besides the part: those with a gap between them, and those
 * under the same request, as different endpoints have no request in common by chance.
 */
function countApart(crashes: ReadonlyArray<EndpointCrash>, part: RequestPart): number {
  let count = 0;
  let lastMs = -Infinity;
  const requests = new Set<RequestPart>();
  crashes.forEach((crash) => {
    const { atMs } = crash;
    const present = listRequests(listLikelySuspects(crash), part);
    const isRepeat = present.some((request) => requests.has(request));
    present.forEach((request) => requests.add(request));
    if (atMs - lastMs < HARM_OPTIONS.minGapMs && !isRepeat && !wasResent(crash, part)) return;
    count += 1;
    lastMs = atMs;
  });
  return count;
}

function listCandidates({ crashes, soundAtMs }: CrashEvidence): ReadonlyArray<Candidate> {
  const byPart = new Map<RequestPart, ReadonlyArray<EndpointCrash>>();
  crashes.forEach((crash) => {
    const suspects = listLikelySuspects(crash);
    new Set(suspects.flatMap(({ parts }) => parts)).forEach((part) => {
      if (crash.atMs <= (soundAtMs.get(part) ?? -Infinity)) return;
      byPart.set(part, [...(byPart.get(part) ?? []), crash]);
    });
  });
  return [...byPart].map(([part, blamed]) => ({
    part,
    crashes: blamed,
    score: countApart(blamed, part) - Number(soundAtMs.has(part)),
  }));
}

function removeCrashes(
  candidates: ReadonlyArray<Candidate>,
  explained: ReadonlySet<EndpointCrash>,
): ReadonlyArray<Candidate> {
  return candidates.map((candidate) => {
    const crashes = candidate.crashes.filter((crash) => !explained.has(crash));
    if (crashes.length === candidate.crashes.length) return candidate;
    const { part } = candidate;
    const handicap = countApart(candidate.crashes, part) - candidate.score;
    return { ...candidate, crashes, score: countApart(crashes, part) - handicap };
  });
}

/** Whether one part came with another in each crash that counts for it. */
function isAlwaysWith(one: Candidate, other: Candidate): boolean {
  return one.crashes.every(
    (crash) =>
      other.crashes.includes(crash) &&
      listLikelySuspects(crash).some(
        ({ parts }) => parts.includes(one.part) && parts.includes(other.part),
      ),
  );
}

function sharesCrash(one: Candidate, other: Candidate): boolean {
  return one.crashes.some((crash) => other.crashes.includes(crash));
}

/** Candidates that came together in each crash that counts for them. */
interface Group {
  readonly first: Candidate;
  readonly members: ReadonlyArray<Candidate>;
}

function areInseparable(one: Candidate, other: Candidate): boolean {
  return isAlwaysWith(one, other) && isAlwaysWith(other, one);
}

function groupInseparable(candidates: ReadonlyArray<Candidate>): ReadonlyArray<Group> {
  return candidates.reduce<ReadonlyArray<Group>>((groups, candidate) => {
    const found = groups.find(({ members }) =>
      members.every((member) => areInseparable(member, candidate)),
    );
    if (!found) return [...groups, { first: candidate, members: [candidate] }];
    const joined = { ...found, members: [...found.members, candidate] };
    return groups.map((group) => (group === found ? joined : group));
  }, []);
}

/**
 * The wait after the last crash; it doubles with each crash that came after a wait, so a trial. One
 * request isn't worth many engines, so it is tried only a few times while its crashes are remembered.
 */
function computeHoldMs(crashes: ReadonlyArray<EndpointCrash>, isOneRequest: boolean): number {
  const { baseHoldMs, maxHoldMs, maxRequestTrials } = HARM_OPTIONS;
  const failedTrials = crashes.filter(({ atMs }, index) => {
    const before = crashes[index - 1];
    return before !== undefined && atMs - before.atMs >= baseHoldMs;
  }).length;
  if (isOneRequest && failedTrials >= maxRequestTrials) return CRASH_EVIDENCE_OPTIONS.retentionMs;
  return Math.min(maxHoldMs, baseHoldMs * 2 ** failedTrials);
}

function describe({ members, first }: Group): HarmfulParts {
  const { crashes } = first;
  const lastCrashAtMs = crashes.at(-1)?.atMs ?? -Infinity;
  const parts = members.map(({ part }) => part).sort();
  const retryAtMs = lastCrashAtMs + computeHoldMs(crashes, parts.some(isFingerprint));
  return { parts, crashes: crashes.length, retryAtMs };
}

/** Returns the candidates that explain most crashes; of equal ones, those never known as sound. */
function chooseBest(candidates: ReadonlyArray<Candidate>): ReadonlyArray<Candidate> {
  const eligible = candidates.filter(({ score }) => score >= HARM_OPTIONS.minCrashes);
  const maxScore = Math.max(...eligible.map(({ score }) => score));
  const top = eligible.filter(({ score }) => score === maxScore);
  const fewest = Math.min(...top.map(({ crashes, part }) => countApart(crashes, part)));
  return top.filter(({ crashes, part }) => countApart(crashes, part) === fewest);
}

/**
 * Of equal candidates, returns the groups to quarantine, without those that came with another one in
 * each of their crashes but not in each of its. For parts of different requests it waits for some
 * more crashes, which may tell them apart.
 */
function chooseToQuarantine(best: ReadonlyArray<Candidate>): ReadonlyArray<Group> {
  const strongest = best.filter(
    (one) =>
      !best.some((other) => other.crashes.length > one.crashes.length && isAlwaysWith(one, other)),
  );
  const groups = groupInseparable(strongest);
  return groups.filter(
    ({ first }) =>
      first.score >= HARM_OPTIONS.minCrashesIfInseparable ||
      groups.every((other) => other.first === first || !sharesCrash(first, other.first)),
  );
}

/** Returns the parts that are quarantined, by what is known now. */
export function findHarmfulParts(evidence: CrashEvidence): ReadonlyArray<HarmfulParts> {
  let found: ReadonlyArray<HarmfulParts> = [];
  let candidates = listCandidates(evidence);
  for (let best = chooseBest(candidates); best.length > 0; best = chooseBest(candidates)) {
    found = [...found, ...chooseToQuarantine(best).map(describe)];
    const others = candidates.filter((candidate) => !best.includes(candidate));
    candidates = removeCrashes(others, new Set(best.flatMap(({ crashes }) => crashes)));
  }
  return found;
}
