/**
 * Paces the prompts that the engines of a service prefill.
 *
 * A prompt delays the first tokens of all prompts behind it at the same engine. A stream with a long
 * latency goal therefore starts only where the prompt work in flight still leaves the most urgent
 * stream time to begin, and waits at its node while no engine has that. An urgent prompt never waits,
 * and a patient one starts anyway before its own goal is at risk.
 */
import type { Route, ServingConfiguration } from '../core';

export const PACING_OPTIONS = {
  /** Share of a latency goal that is kept free for the network and for prompts not yet known of. */
  goalMarginShare: 0.25,
  /** Share of the allowed pause between events at which an engine gets no further patient prompt. */
  maxPauseShare: 0.8,
  /** Last value of the priority that engines know. */
  maxPriority: 9,
} as const;

/** The shortest goals of the streams that a service serves. @public */
export interface PacingGoals {
  /** Shortest goal for the time to the first token, and the rank of its stream. */
  readonly urgentGoalMs: number;
  readonly urgentRank: number;
  /** Shortest allowed pause between two events. */
  readonly maxEventGapMs: number;
  readonly tokensPerEvent: number;
}

/** What the pacing of one request depends on. @public */
export interface PromptPacing {
  readonly goals: PacingGoals;
  /** Usual prompt of the most urgent streams. */
  readonly urgentPromptTokens: number;
  /** Whether other requests at the engines have shorter goals than this one. */
  readonly isPatient: boolean;
  /** Whether the request's own goal still allows it to wait. */
  readonly hasTimeToWait: boolean;
  /** Age of the loads of other nodes. */
  readonly loadAgeMs: number;
}

/** Prompt work at an engine. @public */
export interface PromptLoad {
  readonly pendingPrefillTokens: number;
  /** Part of it that this node has sent there, which is always up to date. */
  readonly ownPendingPrefillTokens?: number;
  readonly slowness: number;
  /** Lasting time for the same work as a multiple of the median. */
  readonly timeFactor?: number;
  /** Time per token of the running streams; undefined when unknown. */
  readonly paceMs?: number | undefined;
  /** Tokens of the prompt to place that the engine has cached. */
  readonly cachedTokens?: number;
}

/** Prompt of the request to place. @public */
export interface PromptNeed {
  readonly prefillTokens: number;
  readonly tokensPerMs: number;
  readonly latencyGoalMs: number;
}

/** @public */
export type PacingVerdict<Load extends PromptLoad> =
  /** The prompt may start at any of these engines. */
  | { readonly outcome: 'start'; readonly candidates: ReadonlyArray<Load> }
  | { readonly outcome: 'wait'; readonly reason: string };

export function findPacingGoals(
  { routes, services }: Pick<ServingConfiguration, 'routes' | 'services'>,
  service: string,
): PacingGoals | undefined {
  const engine = services.get(service)?.engine;
  const streams = routes
    .filter(({ delivery, latencyGoalMs }) => delivery === 'stream' && latencyGoalMs > 0)
    .filter(({ targets }) => targets.some((target) => target.service === service))
    .sort((a, b) => a.latencyGoalMs - b.latencyGoalMs || a.rank - b.rank);
  const [urgent]: ReadonlyArray<Route> = streams;
  if (!urgent || !engine) return undefined;
  return {
    urgentGoalMs: urgent.latencyGoalMs,
    urgentRank: urgent.rank,
    maxEventGapMs: Math.min(...streams.map(({ maxEventGapMs }) => maxEventGapMs)),
    tokensPerEvent: engine.tokensPerEvent,
  };
}

/** Whether a request can give way to the most urgent streams; one that ranks before them doesn't. */
export function isPatient(
  { urgentGoalMs, urgentRank }: PacingGoals,
  { rank, latencyGoalMs }: Pick<Route, 'rank' | 'latencyGoalMs'>,
): boolean {
  return latencyGoalMs > urgentGoalMs && rank >= urgentRank;
}

/** Prompt tokens that an engine prefills within a latency goal, with a margin. */
function computeBudgetTokens(goalMs: number, tokensPerMs: number): number {
  return goalMs * (1 - PACING_OPTIONS.goalMarginShare) * tokensPerMs;
}

/** Prompt work in flight at an engine with which an urgent prompt that follows is still on time. */
export function computePromptLimit(
  { goals, urgentPromptTokens }: Pick<PromptPacing, 'goals' | 'urgentPromptTokens'>,
  tokensPerMs: number,
): number {
  const budgetTokens = computeBudgetTokens(goals.urgentGoalMs, tokensPerMs);
  return Math.max(0, budgetTokens - urgentPromptTokens);
}

/** Time from its arrival that a patient prompt may wait and still begin on time at a busy engine. */
export function computeMaxPromptWaitMs(
  { prefillTokens, tokensPerMs, latencyGoalMs }: PromptNeed,
  limitTokens: number,
): number {
  const budgetTokens = computeBudgetTokens(latencyGoalMs, tokensPerMs);
  return Math.max(0, budgetTokens - limitTokens - prefillTokens) / tokensPerMs;
}

/** Priority of a request at its engine, which admits the lowest value first. */
export function toRequestPriority(rank: number): number {
  return Math.min(PACING_OPTIONS.maxPriority, Math.max(0, Math.round(rank)));
}

/** Time that an engine takes for a prompt as a multiple of the usual one. */
function getTimeMultiple({ slowness, timeFactor = 1 }: PromptLoad): number {
  return slowness === 1 ? timeFactor : Math.max(slowness, timeFactor);
}

/**
 * Replaces the prompt work at an engine by what must still be there. What other nodes had there when
 * their loads were taken has been prefilled in part since then, so old loads count less.
 */
function updatePromptWork<Load extends PromptLoad>(
  load: Load,
  { loadAgeMs }: PromptPacing,
  { tokensPerMs }: PromptNeed,
): Load {
  const { pendingPrefillTokens, ownPendingPrefillTokens = 0 } = load;
  const othersTokens = pendingPrefillTokens - ownPendingPrefillTokens;
  const prefilledTokens = (loadAgeMs * tokensPerMs) / getTimeMultiple(load);
  const remainingTokens = ownPendingPrefillTokens + Math.max(0, othersTokens - prefilledTokens);
  return { ...load, pendingPrefillTokens: remainingTokens };
}

function hasSlowStreams({ paceMs }: PromptLoad, goals: PacingGoals): boolean {
  if (paceMs === undefined) return false;
  return paceMs * goals.tokensPerEvent > goals.maxEventGapMs * PACING_OPTIONS.maxPauseShare;
}

/** Whether a prompt may start at an engine without delaying it or others beyond their goals. */
function isWithinLimit(load: PromptLoad, need: PromptNeed, pacing: PromptPacing): boolean {
  // A prompt that is longer than the limit would never start otherwise.
  if (load.pendingPrefillTokens === 0) return true;
  const ownTokens = need.prefillTokens - (load.cachedTokens ?? 0);
  const totalTokens = (load.pendingPrefillTokens + ownTokens) * getTimeMultiple(load);
  if (!pacing.isPatient) {
    return totalTokens <= computeBudgetTokens(need.latencyGoalMs, need.tokensPerMs);
  }
  if (hasSlowStreams(load, pacing.goals)) return false;
  return totalTokens <= computePromptLimit(pacing, need.tokensPerMs);
}

/** Chooses the engines at which a prompt may start now, and updates their prompt work. */
export function pacePrompt<Load extends PromptLoad>(
  candidates: ReadonlyArray<Load>,
  need: PromptNeed & { readonly pacing?: PromptPacing | undefined },
): PacingVerdict<Load> {
  const { pacing } = need;
  if (!pacing || need.prefillTokens === 0) return { outcome: 'start', candidates };
  const updated = candidates.map((load) => updatePromptWork(load, pacing, need));
  const withinLimit = updated.filter((load) => isWithinLimit(load, need, pacing));
  if (withinLimit.length > 0) return { outcome: 'start', candidates: withinLimit };
  const waits = pacing.isPatient && pacing.hasTimeToWait && candidates.length > 0;
  if (!waits) return { outcome: 'start', candidates: updated };
  const limitTokens = Math.round(computePromptLimit(pacing, need.tokensPerMs));
  return {
    outcome: 'wait',
    reason: `the prompt work at every engine is at its limit of ${limitTokens} tokens`,
  };
}
