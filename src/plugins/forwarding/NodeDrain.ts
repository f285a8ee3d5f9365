/**
 * State of this node's planned shutdown, as far as callers' requests are concerned.
 */
import { setMaxListeners } from 'node:events';
import { ServingError } from '../../core';
import { computeDrainSchedule, type DrainSchedule } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Deployment, Members } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import { FORWARDING_OPTIONS } from './options';

/** @internal */
export class NodeDrain {
  private schedule: DrainSchedule | undefined;

  private readonly endController = new AbortController();

  constructor(private readonly kernel: Kernel) {
    // Every running request adds a listener.
    setMaxListeners(0, this.endController.signal);
  }

  /** Aborted once the remaining requests have to be answered, as the process is about to exit. */
  get endSignal(): AbortSignal {
    return this.endController.signal;
  }

  /** Starts the shutdown; its schedule stays the same whatever is reconfigured afterwards. */
  start(): DrainSchedule {
    const { shutdownGraceMs } = this.kernel.get(Deployment).bounds;
    this.schedule ??= computeDrainSchedule(
      this.kernel.clock.nowMs(),
      shutdownGraceMs,
      FORWARDING_OPTIONS,
    );
    return this.schedule;
  }

  /** Ends all requests that are still running, and all that arrive from now on. */
  endRequests(): void {
    this.endController.abort();
  }

  /** Waits for a step before a request is sent. @throws ServingError `draining` at the end. */
  async waitFor<T>(step: Promise<T>): Promise<T> {
    const { endSignal } = this;
    let onEnd = (): void => {};
    const ended = new Promise<never>((_resolve, reject) => {
      onEnd = () => reject(this.createRefusal('This node is about to exit.'));
      endSignal.addEventListener('abort', onEnd);
      if (endSignal.aborted) onEnd();
    });
    try {
      return await Promise.race([ended, step]);
    } finally {
      endSignal.removeEventListener('abort', onEnd);
    }
  }

  /**
   * Returns the error for a request that the end of the shutdown has interrupted; undefined if it
   * ended for another reason.
   */
  explainEnd(admitted: AdmittedRequest): ServingError | undefined {
    if (!this.endSignal.aborted || this.kernel.clock.nowMs() >= admitted.deadlineMs) {
      return undefined;
    }
    if (admitted.sentTo.length === 0) return this.createRefusal('This node is about to exit.');
    return new ServingError('answer-lost', {
      detail: `This node exited before ${admitted.sentTo.at(-1)} had answered.`,
      clause: admitted.clause,
    });
  }

  private createRefusal(detail: string): ServingError {
    const hasOtherNode = this.kernel
      .get(Members)
      .listLive()
      .some(({ takesCallers }) => takesCallers);
    const { otherNodeRetryAfterMs, noNodeRetryAfterMs } = FORWARDING_OPTIONS;
    return new ServingError('draining', {
      detail,
      clause: 'bounds.shutdownGraceMs',
      retryAfterMs: hasOtherNode ? otherNodeRetryAfterMs : noNodeRetryAfterMs,
    });
  }
}
