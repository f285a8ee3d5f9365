/**
 * The evidence of crashes that this node knows, and the parts that are quarantined by it.
 */
import type { PromptPartId } from '../../core';
import {
  addCrash,
  addSound,
  expireEvidence,
  findHarmfulParts,
  listSuspectParts,
  mergeEvidence,
  NO_EVIDENCE,
  type CrashEvidence,
  type CrashSuspect,
  type HarmfulPart,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { Members, Quarantine, type QuarantineVerdict } from '../../services';
import { SoundParts } from './SoundParts';
import type { TrialGrants } from './TrialGrants';

const ADMIT: QuarantineVerdict = { outcome: 'admit' };

/** @internal */
export class PromptQuarantine extends Quarantine {
  private readonly sound = new SoundParts();

  private known: CrashEvidence = NO_EVIDENCE;

  private harmful: ReadonlyMap<PromptPartId, HarmfulPart> = new Map();

  private suspects: ReadonlySet<PromptPartId> = new Set();

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
    return this.harmful.size;
  }

  override check(parts: ReadonlyArray<PromptPartId>): QuarantineVerdict {
    if (this.harmful.size === 0) return ADMIT;
    const [worst] = parts
      .flatMap((part) => this.harmful.get(part) ?? [])
      .sort((a, b) => b.retryAtMs - a.retryAtMs);
    if (!worst) return ADMIT;
    const { part, crashes } = worst;
    const retryAfterMs = worst.retryAtMs - this.kernel.clock.nowMs();
    return retryAfterMs > 0
      ? { outcome: 'refuse', part, crashes, retryAfterMs }
      : { outcome: 'trial', part };
  }

  override async takeTrial(part: PromptPartId): Promise<boolean> {
    const isGranted = await this.trials.take(part);
    this.kernel.log.info('decision', {
      step: 'quarantine',
      what: 'trial of a quarantined part',
      part,
      outcome: isGranted ? 'granted' : 'another one runs',
    });
    return isGranted;
  }

  override recordCrash(crashId: string, lost: CrashSuspect): void {
    if (lost.parts.length === 0) return;
    const atMs = this.kernel.clock.nowMs();
    const changed = this.apply(addCrash(this.known, { crashId, atMs, suspects: [lost] }), 'own');
    if (changed) this.kernel.get(Members).announceToPartners();
  }

  override recordSound(parts: ReadonlyArray<PromptPartId>, beganAtMs: number): void {
    parts.forEach((part) => this.sound.record(part, beganAtMs));
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

  /** Takes over changed evidence, together with what this node knows of the parts in it. */
  private apply(evidence: CrashEvidence, source: string): boolean {
    if (evidence === this.known) return false;
    this.suspects = listSuspectParts(evidence.crashes);
    this.known = [...this.suspects].reduce((before, part) => {
      const beganAtMs = this.sound.find(part);
      return beganAtMs === undefined ? before : addSound(before, part, beganAtMs);
    }, evidence);
    this.currentRevision += 1;
    const before = this.harmful;
    this.harmful = findHarmfulParts(this.known);
    this.logChanges(before, source);
    return true;
  }

  private logChanges(before: ReadonlyMap<PromptPartId, HarmfulPart>, source: string): void {
    const { clock, log } = this.kernel;
    this.harmful.forEach(({ part, crashes, retryAtMs }) => {
      if (before.get(part)?.crashes === crashes) return;
      log.warn('decision', {
        step: 'quarantine',
        what: 'part of prompts quarantined',
        part,
        crashes,
        crashIds: this.listCrashIds(part),
        retryAfterMs: Math.round(retryAtMs - clock.nowMs()),
        source,
      });
    });
    before.forEach(({ part }) => {
      if (this.harmful.has(part)) return;
      const soundAtMs = this.known.soundAtMs.get(part);
      log.warn('decision', {
        step: 'quarantine',
        what: 'part of prompts released',
        part,
        soundForMs: soundAtMs === undefined ? undefined : Math.round(clock.nowMs() - soundAtMs),
        source,
      });
    });
  }

  private listCrashIds(part: PromptPartId): ReadonlyArray<string> {
    return this.known.crashes
      .filter(({ suspects }) => suspects.some(({ parts }) => parts.includes(part)))
      .map(({ crashId }) => crashId);
  }
}
