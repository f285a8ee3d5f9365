/**
 * The requests of callers that have no outcome yet.
 *
 * A request enters when its head was read. Whatever ends its task, it leaves with exactly one
 * outcome: it is answered, its caller has left, or its connection was closed after the head of its
 * answer. A request that would have ended without an answer gets an error here, and is logged and
 * counted.
 */
import { once } from 'node:events';
import { getErrorAnswer, ServingError, startDeadline } from '../../core';
import type { Kernel } from '../../kernel';
import {
  Deployment,
  RequestDialect,
  ServingMetrics,
  type HeaderList,
  type UnansweredCause,
} from '../../services';
import type { CallerExchange } from './CallerExchange';
import { FORWARDING_OPTIONS } from './options';
import { RunningRequest } from './RunningRequest';

/** Creates the error of a request whose deadline has passed. */
export function createOverdueError(
  { deadlineMs, exchange, mayHaveRun }: RunningRequest,
  clause?: string,
): ServingError {
  const detail = `No complete response within ${Math.round(deadlineMs - exchange.arrivedAtMs)} ms.`;
  return new ServingError(mayHaveRun ? 'answer-timeout' : 'deadline-passed', {
    detail,
    clause,
  });
}

/** @internal */
export class RequestTable {
  private readonly running = new Set<RunningRequest>();

  constructor(private readonly kernel: Kernel) {}

  /** Requests that have not been answered completely, with their deadlines. */
  list(): ReadonlyArray<RunningRequest> {
    return [...this.running];
  }

  /** Runs the task of a request, and resolves when it has left the table. Never rejects. */
  async run(
    exchange: CallerExchange,
    task: (request: RunningRequest) => Promise<void>,
  ): Promise<void> {
    const request = new RunningRequest(exchange, this.kernel.clock);
    this.running.add(request);
    await Promise.race([this.runTask(request, task), exchange.closed]);
    await exchange.closed;
    request.stopTask();
    this.running.delete(request);
  }

  /** Ends a request with an error, or cuts it if the head of its answer has been sent. */
  end(request: RunningRequest, error: ServingError): void {
    if (request.outcome) return;
    this.writeError(request, error);
    request.stopTask();
    this.kernel.get(ServingMetrics).countRefusal(error.kind);
    this.logRefusal(request, error);
  }

  /** Ends the requests that their tasks have not ended by their deadlines. */
  endOverdue(): void {
    const overdueMs = this.kernel.clock.nowMs() - FORWARDING_OPTIONS.overdueMarginMs;
    this.running.forEach((request) => {
      if (request.deadlineMs > overdueMs) return;
      this.endUnanswered(request, 'overdue', createOverdueError(request));
    });
  }

  /** Ends all requests, because the node stops. */
  endAll(): void {
    this.running.forEach((request) => {
      const detail = 'The node stopped before the response was complete.';
      const kind = request.mayHaveRun ? 'answer-lost' : 'draining';
      this.endUnanswered(request, 'stop', new ServingError(kind, { detail }));
    });
  }

  /** Resolves when no request is running, or at a monotonic time. */
  async waitUntilEmpty(deadlineMs: number): Promise<void> {
    const leftMs = deadlineMs - this.kernel.clock.nowMs();
    if (leftMs <= 0) return;
    const timeout = startDeadline(leftMs);
    const expired = once(timeout.signal, 'abort');
    while (this.running.size > 0 && !timeout.signal.aborted) {
      const closed = this.list().map(async ({ exchange }) => exchange.closed);
      await Promise.race([Promise.all(closed), expired]);
    }
    timeout.stop();
  }

  private async runTask(
    request: RunningRequest,
    task: (request: RunningRequest) => Promise<void>,
  ): Promise<void> {
    let error = new ServingError('internal', { detail: 'The request was not handled.' });
    try {
      await task(request);
    } catch (thrown) {
      error = ServingError.from(thrown);
      this.kernel.log.error('request task failed', {
        requestId: request.requestId,
        cause: thrown,
      });
    }
    this.endUnanswered(request, 'task ended', error);
  }

  private endUnanswered(
    request: RunningRequest,
    cause: UnansweredCause,
    error: ServingError,
  ): void {
    if (request.outcome) return;
    const { requestId, exchange, deadlineMs, sentTo } = request;
    const { clock, log } = this.kernel;
    this.kernel.get(ServingMetrics).countUnanswered(cause);
    log.error('request ended without an answer', {
      requestId,
      cause,
      reason: error.detail,
      sentTo,
      hadHead: exchange.hasAnswered,
      runningForMs: Math.round(clock.nowMs() - exchange.arrivedAtMs),
      leftMs: Math.round(deadlineMs - clock.nowMs()),
    });
    this.end(request, error);
  }

  /** An error in the encoding of an error must not leave the request without an outcome. */
  private writeError({ requestId, exchange, passed }: RunningRequest, error: ServingError): void {
    const statesNotRun = passed !== undefined && getErrorAnswer(error.kind).run === 'not-run';
    try {
      exchange.fail(error, this.encodeAnswerHeaders(requestId, statesNotRun));
    } catch (thrown) {
      this.kernel.log.error('error response failed', { requestId, cause: thrown });
      exchange.abort(error.kind);
    }
  }

  private encodeAnswerHeaders(
    requestId: RunningRequest['requestId'],
    statesNotRun: boolean,
  ): HeaderList {
    if (requestId === undefined) return [];
    try {
      return this.kernel.get(RequestDialect).writeAnswerHeaders(requestId, statesNotRun);
    } catch (thrown) {
      this.kernel.log.error('error response failed', { requestId, cause: thrown });
      return [];
    }
  }

  private logRefusal(
    { requestId }: RunningRequest,
    { kind, clause, detail, retryAfterMs }: ServingError,
  ): void {
    this.kernel.log.info('decision', {
      requestId,
      step: 'refuse',
      kind,
      clause,
      reason: detail,
      retryAfterMs,
      confirmedAgeMs: Math.round(this.kernel.get(Deployment).getConfirmedAgeMs()),
    });
  }
}
