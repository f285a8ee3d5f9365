/**
 * Sends one request to another node, on a connection of its own, and tells what came of it.
 */
import { ServingError } from '../../core';
import type { Kernel } from '../../kernel';
import { RequestDialect, type AnswerHead, type KnownMember } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { SendableBody } from './CallerBody';
import { EndpointConnection } from './EndpointConnection';
import { isSuccess } from './EndpointSender';
import { ConnectionPool, EndpointResponse } from './EndpointResponse';
import { signPassedRequest } from './passedRequest';

/** Outcome of passing a request to one node. @internal */
export type PassOutcome =
  | { readonly outcome: 'answered'; readonly head: AnswerHead; readonly answer: EndpointResponse }
  /** The node has not run the request and won't. */
  | { readonly outcome: 'refused'; readonly reason: string }
  /** No connection was opened. */
  | { readonly outcome: 'unreachable'; readonly reason: string }
  /** The request may have run. */
  | { readonly outcome: 'lost'; readonly reason: string };

/** Connections to nodes aren't reused: nothing is lost with one that the other node has just closed. */
class SingleUse extends ConnectionPool {
  override release(connection: EndpointConnection): void {
    void connection.close();
  }
}

/** @internal */
export class NodeConnection {
  constructor(private readonly kernel: Kernel) {}

  async send(
    admitted: AdmittedRequest,
    { vmId, callerAddress }: KnownMember,
    body: SendableBody,
  ): Promise<PassOutcome> {
    const { request, exchange, signal, work } = admitted;
    const { settings, clock } = this.kernel;
    const dialect = this.kernel.get(RequestDialect);
    const remainingMs = Math.max(1, Math.floor(admitted.deadlineMs - clock.nowMs()));
    const passedStatement = signPassedRequest(settings, {
      requestId: request.requestId,
      from: settings.vmId,
      configurationVersion: work.configuration.version,
      endpointsTried: admitted.sentTo.length,
    });
    const connection = new EndpointConnection(callerAddress);
    try {
      const response = await connection.send(
        {
          method: request.method,
          target: request.target,
          headers: dialect.writePassedHeaders(exchange.headers, {
            to: vmId,
            remainingMs,
            passedStatement,
          }),
          body: body.open(),
          markWriting: () => admitted.markPassed(),
        },
        signal,
      );
      const answer = new EndpointResponse(connection, new SingleUse(), response);
      return this.classify(admitted, answer);
    } catch (thrown) {
      await connection.close();
      const { kind, detail } = ServingError.from(thrown);
      const isUnsent = kind === 'endpoint-unreachable';
      return { outcome: isUnsent ? 'unreachable' : 'lost', reason: detail };
    }
  }

  /** Only the node's own word counts for a refusal: an endpoint may have run what it refuses. */
  private classify({ request }: AdmittedRequest, answer: EndpointResponse): PassOutcome {
    const { status, headers } = answer;
    const head = this.kernel.get(RequestDialect).readAnswer(request, status, headers);
    if ((head.isNotRun && !head.isSigned) || head.isOtherEndpoint) {
      answer.abort();
      return { outcome: 'refused', reason: `status ${status}` };
    }
    if (head.isForRequest && (head.isSigned || !isSuccess(head))) {
      return { outcome: 'answered', head, answer };
    }
    answer.abort();
    const isOthers = !head.isForRequest;
    const reason = isOthers ? 'the response belongs to another request' : 'it has no signature';
    return { outcome: 'lost', reason };
  }
}
