/**
 * Collects what the pacing of prompts depends on, for the services where it is in force.
 */
import type { EndpointId, ServingConfiguration } from '../../core';
import {
  CachedParts,
  computeMaxPromptWaitMs,
  computePromptLimit,
  findPacingGoals,
  isPatient,
  PromptSizes,
  servesMixedUrgency,
  toRequestPriority,
  type PacingGoals,
  type PlacementCandidate,
  type PrefillSpeed,
  type PromptPacing,
} from '../../decisions';
import type { Kernel } from '../../kernel';
import { FrontSettingsStore, Members } from '../../services';
import type { PlacementInput } from './EndpointPlacer';
import { PromptWait } from './PromptWait';

interface ServicePacing {
  readonly goals: PacingGoals | undefined;
  readonly isMixed: boolean;
}

type PacedWork = Pick<PlacementInput, 'configuration' | 'service'>;

/** @internal */
export class PromptPacer {
  private readonly urgentPrompts = new PromptSizes();

  private readonly cached = new CachedParts();

  private readonly known = new WeakMap<ServingConfiguration, Map<string, ServicePacing>>();

  constructor(
    private readonly kernel: Kernel,
    private readonly prefillSpeed: PrefillSpeed,
  ) {}

  isPaced(work: PacedWork): boolean {
    return this.findGoals(work) !== undefined;
  }

  /** Records the prompt of a new request, if it belongs to an urgent stream. */
  observe(work: PlacementInput): void {
    const goals = this.findGoals(work);
    if (!goals || !work.prompt || isPatient(goals, work)) return;
    this.urgentPrompts.observe(work.service, work.prompt.promptTokens);
  }

  /**
   * Plans how long a new request may wait for the prompt work of others; undefined if it may not.
   */
  planWait(work: PlacementInput): PromptWait | undefined {
    const goals = this.findGoals(work);
    if (!goals || !work.prompt || !isPatient(goals, work)) return undefined;
    const { service, latencyGoalMs, arrivedAtMs, prompt } = work;
    const tokensPerMs = this.prefillSpeed.get(service);
    const need = { prefillTokens: prompt.promptTokens, tokensPerMs, latencyGoalMs };
    const limitTokens = this.computeLimit(service, goals);
    const waitMs = computeMaxPromptWaitMs(need, limitTokens);
    return new PromptWait(this.kernel, arrivedAtMs + waitMs);
  }

  /** Returns what the placement of a request depends on; undefined where prompts aren't paced. */
  describe(work: PlacementInput, wait: PromptWait | undefined): PromptPacing | undefined {
    const goals = this.findGoals(work);
    if (!goals || !work.prompt) return undefined;
    return {
      goals,
      urgentPromptTokens: this.urgentPrompts.getUsual(work.service),
      isPatient: isPatient(goals, work),
      hasTimeToWait: wait?.hasTimeLeft() ?? false,
      loadAgeMs: this.kernel.get(Members).getLoadAgeMs(),
    };
  }

  /** Adds to each candidate what it has cached of the prompt, where prompts are paced. */
  countCached(
    work: PlacementInput,
    candidates: ReadonlyArray<PlacementCandidate>,
  ): ReadonlyArray<PlacementCandidate> {
    if (work.sharedPrompt.length === 0 || !this.isPaced(work)) return candidates;
    const nowMs = this.kernel.clock.nowMs();
    const promptTokens = work.prompt?.promptTokens ?? 0;
    return candidates.map((candidate) => {
      const { endpointId } = candidate;
      const tokens = this.cached.countTokens(endpointId, work.sharedPrompt, nowMs);
      // Callers state the sizes of the parts and of the prompt, and they may not agree.
      return { ...candidate, cachedTokens: Math.min(promptTokens, tokens) };
    });
  }

  /** Records that an engine has prefilled a prompt; returns whether prompts are paced there. */
  recordPrefilled(work: PlacementInput, endpointId: EndpointId): boolean {
    if (!this.isPaced(work)) return false;
    this.cached.record(endpointId, work.sharedPrompt, this.kernel.clock.nowMs());
    return true;
  }

  /** Forgets what an endpoint has cached that has left or restarted. */
  forget(endpointId: EndpointId): void {
    this.cached.forget(endpointId);
  }

  /** Returns the priority of a request at its engine; undefined where prompts aren't paced. */
  findPriority(work: PlacementInput): number | undefined {
    return work.prompt && this.isPaced(work) ? toRequestPriority(work.rank) : undefined;
  }

  /** Returns the limit of prompt work in flight at an engine; undefined without pacing. */
  findLimit(work: PacedWork): number | undefined {
    const goals = this.findGoals(work);
    return goals && this.computeLimit(work.service, goals);
  }

  private computeLimit(service: string, goals: PacingGoals): number {
    const urgentPromptTokens = this.urgentPrompts.getUsual(service);
    return computePromptLimit({ goals, urgentPromptTokens }, this.prefillSpeed.get(service));
  }

  private findGoals({ configuration, service }: PacedWork): PacingGoals | undefined {
    const { promptPacing } = this.kernel.get(FrontSettingsStore).settings.scheduling;
    if (promptPacing === 'off') return undefined;
    const { goals, isMixed } = this.findService(configuration, service);
    return promptPacing === 'on' || isMixed ? goals : undefined;
  }

  private findService(configuration: ServingConfiguration, service: string): ServicePacing {
    const services = this.known.get(configuration) ?? new Map<string, ServicePacing>();
    this.known.set(configuration, services);
    const known = services.get(service);
    if (known) return known;
    const found = {
      goals: findPacingGoals(configuration, service),
      isMixed: servesMixedUrgency(configuration, service),
    };
    services.set(service, found);
    return found;
  }
}
