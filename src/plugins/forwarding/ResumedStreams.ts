/**
 * Finds the service and the software version at which a stream has to go on that its caller takes up
 * again, at this node or another one.
 */
import { rejectOnAbort, ServingError, type Route } from '../../core';
import {
  chooseService,
  ORIGIN_OPTIONS,
  type OriginVerdict,
  type StreamOrigin,
} from '../../decisions';
import type { Kernel, LogFields } from '../../kernel';
import { StreamOrigins, type OriginKnowledge, type ServingRequest } from '../../services';
import { FORWARDING_OPTIONS } from './options';

/** Whether the caller has events of the stream already. @internal */
export function isResumed(
  { lastEventId, resumedRequestId }: ServingRequest,
  { delivery }: Route,
): boolean {
  return delivery === 'stream' && (lastEventId !== undefined || resumedRequestId !== undefined);
}

function describeVerdict(verdict: OriginVerdict): LogFields {
  if (verdict.outcome === 'unknown') return { outcome: 'refused', reason: verdict.reason };
  const { service, softwareVersion } = verdict.origin;
  return { outcome: `goes on at ${service} ${softwareVersion}`, by: verdict.by };
}

function describeKnowledge({ listAgeMs, followedForMs, ...nodes }: OriginKnowledge): LogFields {
  return { ...nodes, listAgeMs: Math.round(listAgeMs), followedForMs: Math.round(followedForMs) };
}

/** @internal */
export class ResumedStreams {
  constructor(private readonly kernel: Kernel) {}

  /**
   * Returns undefined if the route leads to no service.
   * @throws ServingError `stream-origin-unknown`; another error if the signal aborts.
   */
  async findOrigin(
    request: ServingRequest,
    route: Route,
    signal: AbortSignal,
  ): Promise<StreamOrigin | undefined> {
    const firstRequestId = request.resumedRequestId;
    const service = chooseService(route, firstRequestId ?? request.requestId);
    if (service === undefined) return undefined;
    const windowMs = route.answerWithinMs * ORIGIN_OPTIONS.windowFactor;
    const found = this.kernel.get(StreamOrigins).find({ firstRequestId, service, windowMs });
    const { verdict, knowledge } = await rejectOnAbort(found, signal);
    this.kernel.log.info('decision', {
      requestId: request.requestId,
      step: 'route',
      what: 'stream taken up again',
      resumes: firstRequestId,
      lastEventId: request.lastEventId,
      clause: `routes.${route.name}`,
      ...describeVerdict(verdict),
      ...describeKnowledge(knowledge),
    });
    if (verdict.outcome === 'unknown') throw this.createError(route, verdict.reason);
    const { origin } = verdict;
    if (route.targets.some((target) => target.service === origin.service)) return origin;
    throw this.createError(route, `the route no longer leads to ${origin.service}`);
  }

  private createError({ name }: Route, reason: string): ServingError {
    return new ServingError('stream-origin-unknown', {
      detail: `The stream can't go on: ${reason}.`,
      clause: `routes.${name}.targets`,
      retryAfterMs: FORWARDING_OPTIONS.unusableRetryAfterMs,
    });
  }
}
