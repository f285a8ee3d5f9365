/**
 * The read-only source of the configuration and the list of endpoints.
 */
import type { BackEnd, EndpointId, ServingConfiguration } from '../core';

/** A value as published, which is forwarded to nodes that cannot reach the source. @public */
export interface PublishedValue {
  readonly key: string;
  readonly text: string;
  /** Position of its last change in the publisher's history; later changes have higher ones. */
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
  /** A value that cannot be parsed. */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly reason: string;
      /** Undefined when the revision can't be read either. */
      readonly revision: number | undefined;
      /** The endpoint that the key names, if any. */
      readonly endpointId: EndpointId | undefined;
    };

/** @public */
export interface PublishedChanges {
  readonly changes: ReadonlyArray<PublishedChange>;
  /** Position in the publisher's history at which the next read continues. */
  readonly position: number;
}

/** @public */
export abstract class DeploymentSource {
  /** Parses a value that another node has forwarded; undefined for a key that is not used. */
  abstract decode(value: PublishedValue): PublishedChange | undefined;

  /** Reads everything. @throws ServingError `endpoint-failed`. */
  abstract readAll(signal: AbortSignal): Promise<PublishedChanges>;

  /**
   * Waits up to `waitMs` for changes after a position.
   * @returns undefined when that part of the history is no longer available.
   * @throws ServingError `endpoint-failed`.
   */
  abstract readChanges(
    position: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined>;
}
