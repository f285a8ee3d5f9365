/**
 * The publisher of the configuration and of the list of endpoints; it can only be read and watched.
 */
import type { BackEnd, EndpointId, ServingConfiguration } from '../core';

/** One value that was published or removed. @public */
export type PublishedChange =
  | { readonly kind: 'configuration'; readonly configuration: ServingConfiguration }
  | { readonly kind: 'endpoint'; readonly backEnd: BackEnd }
  | { readonly kind: 'endpoint-removed'; readonly endpointId: EndpointId }
  /** A value that can't be read; it names nothing to use. */
  | { readonly kind: 'unreadable'; readonly key: string; readonly reason: string };

/** @public */
export interface PublishedChanges {
  readonly changes: ReadonlyArray<PublishedChange>;
  /** Place in the publisher's history from which the next read goes on. */
  readonly position: number;
}

/** @public */
export abstract class DeploymentSource {
  /** Reads everything. @throws ServingError `endpoint-failed`. */
  abstract readAll(signal: AbortSignal): Promise<PublishedChanges>;

  /**
   * Waits up to `waitMs` for changes after a position.
   * @returns undefined when that part of the history is no longer kept.
   * @throws ServingError `endpoint-failed`.
   */
  abstract readChanges(
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined>;
}
