/**
 * Moves runs away from engines that are leaving.
 *
 * The memory is copied while the run goes on; then the run is stopped, the little that is new is
 * copied too, and the same run goes on at the other engine.
 */
import { request as callEngine } from 'undici';
import { ServingError, type EndpointId } from '../../core';
import type { Kernel } from '../../kernel';
import { Deployment, RequestDialect, type CopyOutcome, type KnownBackEnd } from '../../services';
import type { AdmittedRequest } from './AdmittedRequest';
import type { EndpointPlacer, PlacedRequest } from './EndpointPlacer';
import { FORWARDING_OPTIONS } from './options';
import type { NextLeg, StreamLeg } from './StreamLeg';

interface RunningStream {
  readonly admitted: AdmittedRequest;
  readonly leg: StreamLeg;
  readonly getOutputTokens: () => number;
}

/** @internal */
export class RunMover {
  private readonly running = new Set<RunningStream>();

  constructor(
    private readonly kernel: Kernel,
    private readonly placer: EndpointPlacer,
  ) {}

  /** Follows a stream until its leg ends; moves it when its engine leaves. */
  follow(stream: RunningStream): void {
    this.running.add(stream);
    stream.leg.ended.addEventListener('abort', () => this.running.delete(stream), { once: true });
    const { endpointId } = stream.leg.placed.backEnd;
    const known = this.kernel.get(Deployment).find(endpointId);
    if (known?.leavingSinceMs !== undefined) this.start(stream);
  }

  /** Starts to move every stream on an engine, the one with the most still to come first. */
  moveAll({ endpointId, startedAtWallMs }: KnownBackEnd): void {
    [...this.running]
      .filter(({ leg }) => {
        const { backEnd } = leg.placed;
        return backEnd.endpointId === endpointId && backEnd.startedAtWallMs === startedAtWallMs;
      })
      .map((stream) => ({ stream, remaining: this.expectRemaining(stream) }))
      .sort((a, b) => b.remaining - a.remaining)
      .forEach(({ stream }) => {
        this.start(stream);
      });
  }

  private expectRemaining({ admitted, getOutputTokens }: RunningStream): number {
    return this.placer.expectRemaining(admitted.work, getOutputTokens());
  }

  private start(stream: RunningStream): void {
    const { admitted, leg } = stream;
    if (leg.move || leg.ended.aborted) return;
    const profile = admitted.work.configuration.services.get(admitted.work.service)?.engine;
    if (!profile?.canMove || !admitted.work.prompt) return;
    if (this.expectRemaining(stream) < FORWARDING_OPTIONS.minMovedTokens) return;
    leg.move = this.move(stream);
  }

  private async move(stream: RunningStream): Promise<NextLeg | undefined> {
    const { admitted, leg } = stream;
    const from = leg.placed.backEnd;
    let excluded: ReadonlyArray<EndpointId> = [from.endpointId];
    while (!leg.ended.aborted) {
      const placed = this.placeElsewhere(stream, excluded);
      if (!placed) return undefined;
      const to = placed.backEnd;
      try {
        const first = await this.copy(admitted, from, to, false);
        this.log(stream, to, 'first copy', first);
        if (first.outcome === 'copied') {
          const fromFirst = { continueFrom: { address: from.address, handle: first.handle } };
          // The engine was lost meanwhile: the copy lacks only what was made since.
          if (leg.ended.aborted) return { placed, continuation: fromFirst };
          const last = await this.copyLast(stream, to);
          if (last.outcome === 'copied') {
            const continueFrom = { address: from.address, handle: last.handle };
            return { placed, continuation: { continueFrom } };
          }
          if (last.outcome === 'no-room' && last.handle !== undefined) {
            return this.stay(placed, stream, last.handle);
          }
          if (leg.ended.aborted) return { placed, continuation: fromFirst };
        }
        if (first.outcome === 'no-such-run') return void this.giveUp(placed);
      } catch (thrown) {
        this.log(stream, to, 'copy failed', undefined, ServingError.from(thrown).detail);
      }
      placed.release();
      excluded = [...excluded, to.endpointId];
    }
    return undefined;
  }

  /** Stops the run and copies what is new. A failure of the call counts as no such run. */
  private async copyLast(stream: RunningStream, to: KnownBackEnd): Promise<CopyOutcome> {
    const { admitted, leg } = stream;
    try {
      const last = await this.copy(admitted, leg.placed.backEnd, to, true);
      this.log(stream, to, 'last copy', last);
      return last;
    } catch (thrown) {
      this.log(stream, to, 'last copy', undefined, ServingError.from(thrown).detail);
      // The engine may have stopped the run or not; closing the stream makes sure of it.
      leg.answer.cut();
      return { outcome: 'no-such-run' };
    }
  }

  private placeElsewhere(
    { admitted, getOutputTokens }: RunningStream,
    excluded: ReadonlyArray<EndpointId>,
  ): PlacedRequest | undefined {
    try {
      return this.placer.place(admitted.work, excluded, 'place', getOutputTokens());
    } catch {
      // The placement has logged why; the run stays where it is.
      return undefined;
    }
  }

  /** The run has stopped but couldn't be moved: it goes on where its memory is. */
  private stay(placed: PlacedRequest, { leg }: RunningStream, handle: string): NextLeg {
    placed.release();
    const { backEnd } = leg.placed;
    return {
      placed: { ...leg.placed, release: () => {} },
      continuation: { continueFrom: { address: backEnd.address, handle } },
    };
  }

  private giveUp(placed: PlacedRequest): undefined {
    placed.release();
    return undefined;
  }

  private async copy(
    { request }: AdmittedRequest,
    from: KnownBackEnd,
    to: KnownBackEnd,
    isLast: boolean,
  ): Promise<CopyOutcome> {
    const dialect = this.kernel.get(RequestDialect);
    const call = dialect.writeCopyOrder(request.requestId, to.address, isLast);
    const { copyTimeoutMs, lastCopyTimeoutMs } = FORWARDING_OPTIONS;
    const answer = await callEngine(`http://${from.address}${call.target}`, {
      method: call.method as 'POST',
      headers: { 'content-type': 'application/json' },
      body: call.body,
      signal: AbortSignal.timeout(isLast ? lastCopyTimeoutMs : copyTimeoutMs),
    });
    return dialect.readCopyAnswer(answer.statusCode, await answer.body.text());
  }

  private log(
    stream: RunningStream,
    to: KnownBackEnd,
    what: string,
    outcome: CopyOutcome | undefined,
    reason?: string,
  ): void {
    this.kernel.log.info('decision', {
      requestId: stream.admitted.request.requestId,
      step: 'place',
      what,
      from: stream.leg.placed.backEnd.endpointId,
      to: to.endpointId,
      outcome: outcome?.outcome ?? 'failed',
      outputTokens: stream.getOutputTokens(),
      reason,
    });
  }
}
