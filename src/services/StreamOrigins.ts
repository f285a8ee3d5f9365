/**
 * Where streams began that callers may take up again at any node.
 *
 * What engines of two software versions write doesn't fit together, and engines don't check it. So a
 * stream goes on only at the version that began it, and not at all where nothing tells which one it was.
 */
import type { CallerRequestId } from '../core';
import type { OriginVerdict, StreamOrigin } from '../decisions';

/** A stream that a caller takes up again. @public */
export interface ResumedStream {
  /** The attempt that brought its first event; undefined if the caller doesn't say. */
  readonly firstRequestId: CallerRequestId | undefined;
  /** Service that its route leads to. */
  readonly service: string;
  /** Longest time since its first event. */
  readonly windowMs: number;
}

/** What a verdict on the origin of a stream rests on, for its log line. @public */
export interface OriginKnowledge {
  /** Age of this node's list of endpoints. */
  readonly listAgeMs: number;
  /** For how long this node has followed the list without a gap. */
  readonly followedForMs: number;
  /** Other nodes that were asked, and those that answered in time. */
  readonly asked: number;
  readonly answered: number;
  /** Whether the changes that this node hadn't heard of could be read; undefined if not needed. */
  readonly areMissedRead: boolean | undefined;
}

/** @public */
export interface FoundOrigin {
  readonly verdict: OriginVerdict;
  readonly knowledge: OriginKnowledge;
}

/** @public */
export abstract class StreamOrigins {
  /** Records where a stream began; called before its first event is passed on. */
  abstract record(firstRequestId: CallerRequestId, origin: StreamOrigin): void;

  /** Finds where a stream began, by what this node and the others know. */
  abstract find(stream: ResumedStream): Promise<FoundOrigin>;
}
