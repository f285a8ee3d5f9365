/**
 * The registration of an endpoint: one running process of an engine or of a service instance.
 */
import type { EndpointId } from './ids';

/** @public */
export interface BackEnd {
  readonly endpointId: EndpointId;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Version of its software, not of its weights; undefined when it isn't stated. */
  readonly softwareVersion?: string | undefined;
  /** Maximum number of requests that it processes concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Remaining warm-up time, in which it is slow, as of the time of the read. */
  readonly warmUpMs: number;
  /**
   * Wall-clock start time, by the endpoint's own clock. A changed value means that it restarted and
   * lost its state.
   */
  readonly startedAtWallMs: number;
}
