/**
 * An endpoint as it registers itself: one start of an engine or of an instance of a service.
 */
import type { EndpointId } from './ids';

/** @public */
export interface BackEnd {
  readonly endpointId: EndpointId;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How much longer it stays slow after its start, as of the time it was read. */
  readonly warmUpMs: number;
  /** Wall-clock time of its start, by its own clock. A new one means that it knows nothing. */
  readonly startedAtWallMs: number;
}
