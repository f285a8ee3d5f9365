/**
 * Delivers a request by an endpoint of this node's own choice, or through another node while this one
 * reaches no endpoint of the service.
 *
 * A request is passed on once, and only while it is certain that no endpoint runs it, or if it may be
 * repeated. The answer of the other node comes back as it is, byte for byte and as it arrives.
 */
import { getErrorAnswer, ServingError } from '../../core';
import { choosePassingNode, REACH_OPTIONS } from '../../decisions';
import type { Kernel } from '../../kernel';
import { Members, ServingMetrics, type KnownMember } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { NodeConnection, PassOutcome } from './NodeConnection';
import { FORWARDING_OPTIONS } from './options';
import type { ReachMonitor } from './ReachMonitor';
import { RequestDelivery } from './RequestDelivery';
import type { RetryPolicy } from './RetryPolicy';
import type { SharedReach } from './SharedReach';

/** @internal */
export interface PassingParts {
  readonly whole: RequestDelivery;
  readonly stream: RequestDelivery;
  readonly reach: ReachMonitor;
  readonly sharedReach: SharedReach;
  readonly nodes: NodeConnection;
  readonly retries: RetryPolicy;
}

/** @internal */
export class PassingDelivery extends RequestDelivery {
  constructor(
    private readonly kernel: Kernel,
    private readonly parts: PassingParts,
  ) {
    super();
  }

  override async deliver(admitted: AdmittedRequest): Promise<void> {
    const { reach, whole, stream } = this.parts;
    const { service } = admitted.work;
    let failure = this.createRefusal(admitted, 'This node reaches no endpoint of the service.');
    if (reach.reaches(service)) {
      try {
        await (admitted.route.delivery === 'stream' ? stream : whole).deliver(admitted);
        return;
      } catch (thrown) {
        if (!(await this.hasLostService(admitted)) || !this.mayPass(admitted, thrown)) throw thrown;
        failure = ServingError.from(thrown);
      }
    }
    if (admitted.passed) throw failure;
    await this.pass(admitted, failure);
  }

  /** Finds out whether attempts failed because this node reaches none of the endpoints. */
  private async hasLostService(admitted: AdmittedRequest): Promise<boolean> {
    const { service } = admitted.work;
    const { reach } = this.parts;
    if (admitted.signal.aborted || admitted.passed) return false;
    if (!reach.reaches(service)) return true;
    // Kept connections may go on working while no other one opens.
    const isRefused = admitted.hasUnsentAttempt && !(await reach.check(service));
    return isRefused && !admitted.signal.aborted;
  }

  private mayPass(admitted: AdmittedRequest, thrown: unknown): boolean {
    const { route, exchange } = admitted;
    if (exchange.hasAnswered) return false;
    const { run } = getErrorAnswer(ServingError.from(thrown).kind);
    if (run === 'not-run') return admitted.sentTo.length < route.maxEndpoints;
    const mayRunAgain = route.delivery === 'stream' ? route.isResumable : route.isRepeatable;
    return run === 'unknown' && mayRunAgain && this.parts.retries.takeRetry(admitted);
  }

  /** @param failure thrown if no node takes the request. */
  private async pass(admitted: AdmittedRequest, failure: ServingError): Promise<void> {
    let excluded: ReadonlyArray<KnownMember> = [];
    let refusal = failure;
    while (excluded.length < REACH_OPTIONS.maxPassingNodes) {
      const node = this.choose(admitted, excluded);
      const body = node && admitted.body.take();
      if (!node || !body) break;
      excluded = [...excluded, node];
      try {
        const sent = await this.parts.nodes.send(admitted, node, body);
        this.record(admitted, node, sent);
        if (sent.outcome === 'answered') {
          await this.relay(admitted, sent);
          return;
        }
        admitted.signal.throwIfAborted();
        if (sent.outcome === 'lost') throw this.createLoss(admitted, node, sent.reason);
        admitted.markRefused();
        const detail = `${node.vmId} didn't take the request: ${sent.reason}`;
        // A request that an endpoint may have run is not said to be refused.
        const isRefused = getErrorAnswer(failure.kind).run === 'not-run';
        if (isRefused) refusal = this.createRefusal(admitted, detail);
      } finally {
        body.release();
      }
    }
    throw refusal;
  }

  private choose(
    { work }: AdmittedRequest,
    excluded: ReadonlyArray<KnownMember>,
  ): KnownMember | undefined {
    const unreaching = this.parts.sharedReach.listUnreaching(work.service);
    const passedOver = new Set([...unreaching, ...excluded.map(({ vmId }) => vmId)]);
    const nodes = this.kernel.get(Members).listLive();
    return choosePassingNode(nodes, this.kernel.settings, passedOver, Math.random);
  }

  private async relay(
    { exchange, signal, clause }: AdmittedRequest,
    { head, answer }: Extract<PassOutcome, { readonly outcome: 'answered' }>,
  ): Promise<void> {
    try {
      for await (const chunk of answer.read()) {
        if (!exchange.hasAnswered) exchange.writeHead(head.status, head.headers);
        await exchange.write(chunk, signal);
      }
    } catch (thrown) {
      const { detail } = ServingError.from(thrown);
      throw new ServingError('answer-lost', { detail, clause, cause: thrown });
    }
    if (!exchange.hasAnswered) exchange.writeHead(head.status, head.headers);
    exchange.end();
  }

  private record(admitted: AdmittedRequest, node: KnownMember, sent: PassOutcome): void {
    const { work, request, clause } = admitted;
    this.kernel.get(ServingMetrics).countPassedRequest(work.service, sent.outcome);
    this.kernel.log.info('decision', {
      requestId: request.requestId,
      customer: work.customer,
      configurationVersion: work.configuration.version,
      clause,
      step: 'pass',
      what: 'Passed on',
      service: work.service,
      to: node.vmId,
      outcome: sent.outcome,
      status: sent.outcome === 'answered' ? sent.head.status : undefined,
      reason: sent.outcome === 'answered' ? undefined : sent.reason,
      endpointsTried: admitted.sentTo.length,
    });
  }

  private createLoss(
    { clause }: AdmittedRequest,
    { vmId }: KnownMember,
    reason: string,
  ): ServingError {
    return new ServingError('answer-lost', { detail: `${vmId}: ${reason}`, clause });
  }

  private createRefusal({ clause }: AdmittedRequest, detail: string): ServingError {
    return new ServingError('no-endpoint', {
      detail,
      clause,
      retryAfterMs: FORWARDING_OPTIONS.retryAfterMs,
    });
  }
}
