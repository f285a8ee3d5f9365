/**
 * The publisher of the configuration and of the list of endpoints; it can only be read and watched.
 */
import type { BackEnd, EndpointId, ServingConfiguration } from '../core';

/** A value as the publisher wrote it, to be passed on to nodes that can't read it themselves. @public */
export interface PublishedValue {
  readonly key: string;
  readonly text: string;
  /** Place of its last change in the publisher's history; a later change has a higher one. */
  readonly revision: number;
}

/** One value that was published or removed. @public */
export type PublishedChange =
  | {
      readonly kind: 'configuration';
      readonly configuration: ServingConfiguration;
      readonly value: PublishedValue;
    }
  | { readonly kind: 'endpoint'; readonly backEnd: BackEnd; readonly value: PublishedValue }
  | {
      readonly kind: 'endpoint-removed';
      readonly endpointId: EndpointId;
      readonly revision: number;
    }
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
  /** Reads a value that another node has passed on; undefined for one that names nothing to use. */
  abstract decode(value: PublishedValue): PublishedChange | undefined;

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
