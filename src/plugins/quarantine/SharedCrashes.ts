/**
 * The evidence of crashes as nodes exchange it: with ages, as their clocks differ.
 */
import * as z from 'zod';
import { computeAgeMs, requestFingerprintSchema, requestPartSchema, type Clock } from '../../core';
import { CRASH_EVIDENCE_OPTIONS } from '../../decisions';
import { SharedState } from '../../services';
import type { PromptQuarantine } from './PromptQuarantine';

const { maxCrashes, maxSuspectsPerCrash, maxPartsPerSuspect } = CRASH_EVIDENCE_OPTIONS;

const MAX_ID_LENGTH = 255;
const ageSchema = z.number().min(0);

/** Whether the head of the answer had arrived; the parts of the request. */
const suspectSchema = z
  .tuple([z.boolean(), z.array(requestPartSchema).max(maxPartsPerSuspect)])
  .readonly();

/** Id of the crash, its age in ms, suspects. */
const crashSchema = z
  .tuple([
    z.string().max(MAX_ID_LENGTH),
    ageSchema,
    z.array(suspectSchema).max(maxSuspectsPerCrash),
  ])
  .readonly();

/** A part of a request, and the time in ms since the newest sound request with it began. */
const soundSchema = z.tuple([requestPartSchema, ageSchema]).readonly();

/** Id of the crash, fingerprints of requests. */
const resentSchema = z
  .tuple([
    z.string().max(MAX_ID_LENGTH),
    z.array(requestFingerprintSchema).max(maxSuspectsPerCrash),
  ])
  .readonly();

const contentSchema = z
  .object({
    crashes: z.array(crashSchema).max(maxCrashes),
    /** Crashes, with requests that were sent there again; absent from nodes of earlier releases. */
    resent: z.array(resentSchema).max(maxCrashes).default([]),
    sound: z.array(soundSchema).max(maxCrashes * maxSuspectsPerCrash * maxPartsPerSuspect),
  })
  .readonly();

/** @internal */
export class SharedCrashes extends SharedState<typeof contentSchema> {
  readonly type = 'crashes';

  readonly schema = contentSchema;

  constructor(
    private readonly quarantine: PromptQuarantine,
    private readonly clock: Clock,
  ) {
    super();
  }

  override get revision(): number {
    return this.quarantine.revision;
  }

  override encode(): z.infer<typeof contentSchema> {
    const { crashes, soundAtMs } = this.quarantine.evidence;
    return {
      crashes: crashes.map(({ crashId, atMs, suspects }) => [
        crashId,
        computeAgeMs(this.clock, atMs),
        suspects.map(({ hadHead, parts }) => [hadHead, [...parts]] as const),
      ]),
      resent: crashes.flatMap(({ crashId, resent = [] }) =>
        resent.length > 0 ? [[crashId, [...resent]] as const] : [],
      ),
      sound: [...soundAtMs].map(
        ([part, beganAtMs]) => [part, computeAgeMs(this.clock, beganAtMs)] as const,
      ),
    };
  }

  override merge(
    { crashes, resent, sound }: z.infer<typeof contentSchema>,
    takenAtMs: number,
  ): void {
    const resentTo = new Map(resent);
    this.quarantine.mergeFrom({
      crashes: crashes.map(([crashId, ageMs, suspects]) => ({
        crashId,
        atMs: takenAtMs - ageMs,
        suspects: suspects.map(([hadHead, parts]) => ({ hadHead, parts })),
        resent: resentTo.get(crashId) ?? [],
      })),
      soundAtMs: new Map(sound.map(([part, ageMs]) => [part, takenAtMs - ageMs])),
    });
  }
}
