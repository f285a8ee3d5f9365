/**
 * The origins of the newest streams, by the attempt that brought their first event.
 */
import { EvictingMap, type CallerRequestId } from '../../core';
import type { StreamOrigin } from '../../decisions';
import { ORIGINS_OPTIONS } from './options';

/** @internal */
export class OriginTable {
  private readonly origins = new EvictingMap<CallerRequestId, StreamOrigin>(
    ORIGINS_OPTIONS.maxRecords,
  );

  get size(): number {
    return this.origins.size;
  }

  /** Keeps the first origin of a stream; a later one would be a mistake of its sender. */
  add(firstRequestId: CallerRequestId, origin: StreamOrigin): void {
    if (this.origins.has(firstRequestId)) return;
    this.origins.set(firstRequestId, origin);
  }

  find(firstRequestId: CallerRequestId): StreamOrigin | undefined {
    return this.origins.get(firstRequestId);
  }
}
