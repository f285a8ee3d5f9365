/**
 * Sends calls to plain services over HTTP.
 */
import { Client } from 'undici';
import { ServingError, type Clock, type EndpointId } from '../../core';
import {
  ServiceCalls,
  type CallContext,
  type FleetEndpoint,
  type Router,
  type ServiceAnswer,
  type ServiceCall,
} from '../../services';
import { checkFinalStatus, SingleConnection } from '../../wire';
import { CALL_OPTIONS } from './options';

const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'transfer-encoding',
]);

function copyHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name, value]) => value !== undefined && !DROPPED_HEADERS.has(name))
      .map(([name, value]) => [name, String(value)]),
  );
}

/** @internal */
export class UndiciServiceCalls extends ServiceCalls {
  constructor(
    private readonly router: Router,
    private readonly clock: Clock,
  ) {
    super();
  }

  async sendOnce(
    endpoint: FleetEndpoint,
    call: ServiceCall,
    deadlineMs: number,
    sendDeadlineMs: number = deadlineMs,
  ): Promise<ServiceAnswer> {
    const signal = AbortSignal.timeout(Math.max(1, Math.ceil(deadlineMs - this.clock.nowMs())));
    // A new connection for each call: a keep-alive connection may be closed by the service just as
    // the call is sent, and then it is unknown whether the call was run.
    const connection = new SingleConnection(
      () => !signal.aborted && this.clock.nowMs() < sendDeadlineMs,
      CALL_OPTIONS.connectTimeoutMs,
    );
    const client = new Client(endpoint.vm.url, {
      pipelining: 1,
      maxResponseSize: CALL_OPTIONS.maxAnswerBytes,
      connect: connection.connect,
    });
    try {
      const response = await client.request({
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body.length > 0 ? call.body : null,
        signal,
      });
      const body = new Uint8Array(await response.body.arrayBuffer());
      checkFinalStatus(response.statusCode);
      return { status: response.statusCode, headers: copyHeaders(response.headers), body };
    } catch (thrown) {
      throw new ServingError(connection.wasOpened ? 'outcome-unknown' : 'endpoint-unreachable', {
        detail: `${endpoint.endpointId} failed.`,
        cause: thrown,
      });
    } finally {
      connection.end();
      await client.destroy();
    }
  }

  async runRepeatable(call: ServiceCall, context: CallContext): Promise<ServiceAnswer> {
    const { kind } = context.clause;
    const deadlineMs = this.clock.nowMs() + kind.answerWithinMs;
    let excluded: ReadonlyArray<EndpointId> = [];
    let lastFailure: unknown;
    for (let attempt = 0; attempt < kind.attempts; attempt++) {
      let assignment: Awaited<ReturnType<Router['assign']>>;
      try {
        assignment = await this.assign(context, excluded, deadlineMs);
      } catch (thrown) {
        // A refusal of the router says nothing of an earlier attempt that may have run.
        if (lastFailure === undefined) throw thrown;
        break;
      }
      try {
        return await this.sendOnce(assignment.endpoint, call, deadlineMs);
      } catch (thrown) {
        lastFailure = thrown;
        excluded = [...excluded, assignment.endpoint.endpointId];
      } finally {
        assignment.release({ complete: true, outputTokens: 0 });
      }
      if (this.clock.nowMs() >= deadlineMs) break;
    }
    throw new ServingError('endpoint-failed', {
      detail: `${kind.name} failed in ${excluded.length} attempts.`,
      clause: `${context.clause.path}.attempts`,
      cause: lastFailure,
    });
  }

  private async assign(
    context: CallContext,
    excluded: ReadonlyArray<EndpointId>,
    deadlineMs: number,
  ): ReturnType<Router['assign']> {
    const signal = AbortSignal.timeout(Math.max(1, Math.ceil(deadlineMs - this.clock.nowMs())));
    return this.router.assign(
      { ...context, promptTokens: 0, prefixHash: undefined, excluded },
      signal,
    );
  }
}
