/**
 * Schedule of a planned shutdown, derived from the time until the process is killed.
 */

/** Monotonic times of the steps of a shutdown. @public */
export interface DrainSchedule {
  /** New connections are accepted until then. */
  readonly acceptDeadlineMs: number;
  /** Requests that are still running then are answered with an error. */
  readonly answerDeadlineMs: number;
  /** The process exits by then. */
  readonly exitDeadlineMs: number;
}

/** @public */
export interface DrainScheduleOptions {
  /** Share of the grace period, and maximum time, in which new connections are accepted. */
  readonly drainAcceptShare: number;
  readonly maxDrainAcceptMs: number;
  /** Share of the grace period, and maximum time, left for the last answers and the exit. */
  readonly answerMarginShare: number;
  readonly maxAnswerMarginMs: number;
  /** Share of the grace period, and maximum time, left for the exit. */
  readonly exitMarginShare: number;
  readonly maxExitMarginMs: number;
}

/** @param startMs monotonic time at which the shutdown began. */
export function computeDrainSchedule(
  startMs: number,
  graceMs: number,
  options: DrainScheduleOptions,
): DrainSchedule {
  const acceptMs = Math.min(options.maxDrainAcceptMs, options.drainAcceptShare * graceMs);
  const answerMarginMs = Math.min(options.maxAnswerMarginMs, options.answerMarginShare * graceMs);
  const exitMarginMs = Math.min(options.maxExitMarginMs, options.exitMarginShare * graceMs);
  return {
    acceptDeadlineMs: startMs + acceptMs,
    answerDeadlineMs: startMs + graceMs - answerMarginMs,
    exitDeadlineMs: startMs + graceMs - exitMarginMs,
  };
}
