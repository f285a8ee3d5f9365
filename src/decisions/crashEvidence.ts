/**
 * What is known of crashes of endpoints that a request may have caused: which requests had not
 * begun well when an endpoint crashed, and when requests with the same parts did begin well.
 *
 * Times are monotonic times of this node. Within its bounds the evidence only grows until it
 * expires, so nodes that merge each other's in any order arrive at the same, but for the small
 * errors of the ages in which they tell each other the times.
 */
import type { RequestFingerprint, RequestPart } from '../core';

export const CRASH_EVIDENCE_OPTIONS = {
  /** Output for this long shows that a request doesn't crash its endpoint as it begins. */
  soundAfterMs: 500,
  /** Age at which a crash is forgotten. */
  retentionMs: 600_000,
  /** Newest crashes that are kept. */
  maxCrashes: 64,
  maxSuspectsPerCrash: 16,
  maxPartsPerSuspect: 32,
} as const;

/** A request that had not begun well when its endpoint crashed. @public */
export interface CrashSuspect {
  /** The request as a whole, by its fingerprint, and the shared parts of its prompt. */
  readonly parts: ReadonlyArray<RequestPart>;
  /** Whether the endpoint was beginning to write the answer: the head had arrived, but no output. */
  readonly hadHead: boolean;
}

/** How far a request was when its endpoint crashed. @public */
export interface LostProgress {
  readonly hadHead: boolean;
  /** Time since its first output; undefined if there was none. */
  readonly outputForMs: number | undefined;
}

/** @public */
export interface EndpointCrash {
  /** The endpoint and its start: a process crashes once. */
  readonly crashId: string;
  readonly atMs: number;
  readonly suspects: ReadonlyArray<CrashSuspect>;
  /** Of requests that were sent there after another endpoint had crashed under the same attempt. */
  readonly resent?: ReadonlyArray<RequestFingerprint>;
}

/** @public */
export interface CrashEvidence {
  /** Oldest first. */
  readonly crashes: ReadonlyArray<EndpointCrash>;
  /** When the newest request with a part began that began well. */
  readonly soundAtMs: ReadonlyMap<RequestPart, number>;
}

export const NO_EVIDENCE: CrashEvidence = { crashes: [], soundAtMs: new Map() };

/**
 * Returns undefined for a request that had begun well. Output makes a request less suspect than a head
 * alone: on a busy endpoint some sound answers have always just begun.
 */
export function toCrashSuspect(
  parts: CrashSuspect['parts'],
  { hadHead, outputForMs }: LostProgress,
): CrashSuspect | undefined {
  if ((outputForMs ?? 0) >= CRASH_EVIDENCE_OPTIONS.soundAfterMs) return undefined;
  return { parts, hadHead: hadHead && outputForMs === undefined };
}

function getSuspectKey({ parts, hadHead }: CrashSuspect): string {
  return `${hadHead} ${parts.join(' ')}`;
}

function mergeSuspects(
  before: ReadonlyArray<CrashSuspect>,
  added: ReadonlyArray<CrashSuspect>,
): ReadonlyArray<CrashSuspect> {
  const known = new Set(before.map(getSuspectKey));
  const news = added.filter((suspect) => !known.has(getSuspectKey(suspect)));
  if (news.length === 0) return before;
  // Those with a head first: they explain a crash best.
  return [...before, ...news]
    .sort((a, b) => Number(b.hadHead) - Number(a.hadHead))
    .slice(0, CRASH_EVIDENCE_OPTIONS.maxSuspectsPerCrash);
}

/** Returns the parts of the suspects of all crashes. */
export function listSuspectParts(crashes: ReadonlyArray<EndpointCrash>): ReadonlySet<RequestPart> {
  return new Set(crashes.flatMap(({ suspects }) => suspects.flatMap(({ parts }) => parts)));
}

function mergeResent(
  before: ReadonlyArray<RequestFingerprint>,
  added: ReadonlyArray<RequestFingerprint>,
): ReadonlyArray<RequestFingerprint> {
  const news = added.filter((fingerprint) => !before.includes(fingerprint));
  if (news.length === 0) return before;
  return [...before, ...news].slice(0, CRASH_EVIDENCE_OPTIONS.maxSuspectsPerCrash);
}

/** Adds a crash, or suspects to a known one; returns the same object if nothing is new. */
export function addCrash(evidence: CrashEvidence, crash: EndpointCrash): CrashEvidence {
  const known = evidence.crashes.find(({ crashId }) => crashId === crash.crashId);
  const suspects = mergeSuspects(known?.suspects ?? [], crash.suspects);
  const knownResent = known?.resent ?? [];
  const resent = mergeResent(knownResent, crash.resent ?? []);
  const isKnown = suspects === known?.suspects && resent === knownResent;
  if (suspects.length === 0 || isKnown) return evidence;
  // The first time that is known stays, so that nodes don't pass ever older times to each other.
  const changed = { ...crash, atMs: known?.atMs ?? crash.atMs, suspects, resent };
  const crashes = [...evidence.crashes.filter((other) => other !== known), changed]
    .sort((a, b) => a.atMs - b.atMs)
    .slice(-CRASH_EVIDENCE_OPTIONS.maxCrashes);
  return { ...evidence, crashes };
}

/**
 * Records that a request with a part began well. Only times that change what the evidence says are
 * taken: the first for a part of a suspect, and one after which a crash no longer counts.
 */
export function addSound(
  evidence: CrashEvidence,
  part: RequestPart,
  beganAtMs: number,
): CrashEvidence {
  const knownMs = evidence.soundAtMs.get(part);
  const clears = evidence.crashes.some(
    ({ atMs, suspects }) =>
      atMs > (knownMs ?? -Infinity) &&
      (knownMs === undefined || atMs <= beganAtMs) &&
      suspects.some(({ parts }) => parts.includes(part)),
  );
  if (!clears) return evidence;
  return { ...evidence, soundAtMs: new Map(evidence.soundAtMs).set(part, beganAtMs) };
}

/** Forgets crashes beyond the retention, and the times of parts that no crash has any more. */
export function expireEvidence(evidence: CrashEvidence, nowMs: number): CrashEvidence {
  const sinceMs = nowMs - CRASH_EVIDENCE_OPTIONS.retentionMs;
  const crashes = evidence.crashes.filter(({ atMs }) => atMs > sinceMs);
  const parts = listSuspectParts(crashes);
  const soundAtMs = new Map([...evidence.soundAtMs].filter(([part]) => parts.has(part)));
  const isSame =
    crashes.length === evidence.crashes.length && soundAtMs.size === evidence.soundAtMs.size;
  return isSame ? evidence : { crashes, soundAtMs };
}

/** Merges the evidence of another node; returns the same object if nothing is new. */
export function mergeEvidence(evidence: CrashEvidence, other: CrashEvidence): CrashEvidence {
  const withCrashes = other.crashes.reduce(addCrash, evidence);
  return [...other.soundAtMs].reduce(
    (merged, [part, beganAtMs]) => addSound(merged, part, beganAtMs),
    withCrashes,
  );
}
