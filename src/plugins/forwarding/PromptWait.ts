/**
 * The wait of one prompt until engines have prefilled the prompts of others.
 */
import type { Kernel } from '../../kernel';
import { ServingMetrics } from '../../services';

/** @internal */
export class PromptWait {
  private begunAtMs: number | undefined;

  private isStopped = false;

  /** @param deadlineMs monotonic time from which the prompt's own goal allows no longer wait. */
  constructor(
    private readonly kernel: Kernel,
    readonly deadlineMs: number,
  ) {}

  hasTimeLeft(): boolean {
    return !this.isStopped && this.kernel.clock.nowMs() < this.deadlineMs;
  }

  /** Ends the time to wait, whatever is left of it. */
  stop(): void {
    this.isStopped = true;
  }

  /** Records that the prompt waits, unless it did before. */
  begin(): void {
    this.begunAtMs ??= this.kernel.clock.nowMs();
  }

  /** Counts the wait, and returns the time that it took; undefined if the prompt didn't wait. */
  end(service: string): number | undefined {
    if (this.begunAtMs === undefined) return undefined;
    const outcome = this.hasTimeLeft() ? 'started' : 'overdue';
    this.kernel.get(ServingMetrics).countPromptWait(service, outcome);
    return Math.round(this.kernel.clock.nowMs() - this.begunAtMs);
  }
}
