/**
 * The evidence of crashes that this node knows, and the requests and parts that are quarantined by it.
 */
import { isFingerprint, type RequestFingerprint, type RequestPart } from '../../core';
import {
  addCrash,
  addSound,
  checkPromptParts,
  expireEvidence,
  findHarmfulParts,
  getHarmfulKey,
  listSuspectParts,
  mergeEvidence,
  NO_EVIDENCE,
  type CrashEvidence,
  type CrashSuspect,
  type HarmfulParts,
  type QuarantineVerdict,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Members, Quarantine } from '../../services';
import { SoundParts } from './SoundParts';
import type { TrialGrants } from './TrialGrants';

/** @internal */
export class PromptQuarantine extends Quarantine {
  private readonly sound = new SoundParts();

  /** Apart from the parts of prompts, as nearly every request has a new fingerprint. */
  private readonly soundRequests = new SoundParts();

  private known: CrashEvidence = NO_EVIDENCE;

  private harmful: ReadonlyArray<HarmfulParts> = [];

  private suspects: ReadonlySet<RequestPart> = new Set();

  private currentRevision = 0;

  constructor(
    private readonly kernel: Kernel,
    private readonly trials: TrialGrants,
  ) {
    super();
  }

  get evidence(): CrashEvidence {
    return this.known;
  }

  get revision(): number {
    return this.currentRevision;
  }

  get quarantinedCount(): number {
    return this.harmful.reduce((count, { parts }) => count + parts.length, 0);
  }

  override check(parts: ReadonlyArray<RequestPart>): QuarantineVerdict {
    return checkPromptParts(this.harmful, parts, this.kernel.clock.nowMs());
  }

  override async takeTrial(
    parts: ReadonlyArray<RequestPart>,
    harmful: HarmfulParts,
  ): Promise<boolean> {
    const key = getHarmfulKey(harmful);
    const tried = harmful.parts.filter((part) => parts.includes(part));
    const isGranted = await this.trials.take(key, tried);
    this.kernel.log.info('decision', {
      step: 'quarantine',
      what: 'trial of quarantined requests',
      parts: harmful.parts,
      tried,
      outcome: isGranted ? 'granted' : 'another one runs',
    });
    return isGranted;
  }

  override recordCrash(crashId: string, lost: CrashSuspect, resent?: RequestFingerprint): void {
    if (lost.parts.length === 0) return;
    const atMs = this.kernel.clock.nowMs();
    const crash = { crashId, atMs, suspects: [lost], resent: resent ? [resent] : [] };
    const changed = this.apply(addCrash(this.known, crash), 'own');
    if (changed) this.kernel.get(Members).announceToPartners();
  }

  override recordSound(parts: ReadonlyArray<RequestPart>, beganAtMs: number): void {
    parts.forEach((part) => this.getSound(part).record(part, beganAtMs));
    if (!parts.some((part) => this.suspects.has(part))) return;
    const evidence = parts.reduce((before, part) => addSound(before, part, beganAtMs), this.known);
    this.apply(evidence, 'own');
  }

  mergeFrom(other: CrashEvidence): void {
    this.apply(mergeEvidence(this.known, other), 'other node');
  }

  /** Forgets evidence beyond its retention. */
  expire(): void {
    this.apply(expireEvidence(this.known, this.kernel.clock.nowMs()), 'expiry');
  }

  private getSound(part: RequestPart): SoundParts {
    return isFingerprint(part) ? this.soundRequests : this.sound;
  }

  /** Takes over changed evidence, together with what this node knows of the parts in it. */
  private apply(evidence: CrashEvidence, source: string): boolean {
    if (evidence === this.known) return false;
    this.suspects = listSuspectParts(evidence.crashes);
    this.known = [...this.suspects].reduce((before, part) => {
      const beganAtMs = this.getSound(part).find(part);
      return beganAtMs === undefined ? before : addSound(before, part, beganAtMs);
    }, evidence);
    this.currentRevision += 1;
    const before = this.harmful;
    this.harmful = findHarmfulParts(this.known);
    this.logChanges(before, source);
    return true;
  }

  private logChanges(before: ReadonlyArray<HarmfulParts>, source: string): void {
    const { clock, log } = this.kernel;
    this.harmful.forEach((harmful) => {
      const { parts, crashes, retryAtMs } = harmful;
      const key = getHarmfulKey(harmful);
      if (before.some((other) => getHarmfulKey(other) === key && other.crashes === crashes)) return;
      log.warn('decision', {
        step: 'quarantine',
        what: 'requests quarantined',
        parts,
        crashes,
        crashIds: this.listCrashIds(parts),
        retryAfterMs: Math.round(retryAtMs - clock.nowMs()),
        source,
      });
    });
    const held = new Set(this.harmful.flatMap(({ parts }) => parts));
    before
      .flatMap(({ parts }) => parts)
      .filter((part) => !held.has(part))
      .forEach((part) => {
        const soundAtMs = this.known.soundAtMs.get(part);
        log.warn('decision', {
          step: 'quarantine',
          what: 'requests released',
          part,
          soundForMs: soundAtMs === undefined ? undefined : Math.round(clock.nowMs() - soundAtMs),
          source,
        });
      });
  }

  private listCrashIds(parts: ReadonlyArray<RequestPart>): ReadonlyArray<string> {
    return this.known.crashes
      .filter(({ suspects }) =>
        suspects.some((suspect) => parts.every((part) => suspect.parts.includes(part))),
      )
      .map(({ crashId }) => crashId);
  }
}
