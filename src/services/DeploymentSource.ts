/**
 * The read-only source of the configuration and the list of endpoints.
 */
import type { BackEnd, EndpointId, ServingConfiguration, SourcePosition } from '../core';

/** A value as published, which is forwarded to nodes that cannot reach the source. @public */
export interface PublishedValue {
  readonly key: string;
  readonly text: string;
  /** Of its last change, as read from the source in that era. */
  readonly position: SourcePosition;
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
      readonly position: SourcePosition;
    }
  /** An order to send nothing more to the endpoints of a data centre, or its removal. */
  | {
      readonly kind: 'evacuation';
      readonly key: string;
      readonly dataCentre: string;
      readonly isEvacuated: boolean;
      /** Undefined when the revision can't be read. */
      readonly position: SourcePosition | undefined;
      /** Why the value can't be read; the order holds nevertheless. */
      readonly fault: string | undefined;
    }
  /** A value that cannot be parsed. */
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly reason: string;
      /** Undefined when the revision can't be read either. */
      readonly position: SourcePosition | undefined;
      /** Whether it is a version of the configuration. */
      readonly isConfiguration: boolean;
      /** The endpoint that the key names, if any. */
      readonly endpointId: EndpointId | undefined;
    };

/** @public */
export interface PublishedChanges {
  readonly changes: ReadonlyArray<PublishedChange>;
  /** Position in the publisher's history at which the next read continues. */
  readonly position: SourcePosition;
}

/** @public */
export abstract class DeploymentSource {
  /** Highest era that any answer has shown, including errors. */
  abstract readonly newestEra: number;

  /** Parses a value that another node has forwarded; undefined for a key that is not used. */
  abstract decode(value: PublishedValue): PublishedChange | undefined;

  /**
   * Reads everything, in one era.
   * @throws ServingError `endpoint-failed`, also when the era changes meanwhile.
   */
  abstract readAll(signal: AbortSignal): Promise<PublishedChanges>;

  /**
   * Returns the position after the newest change. It doesn't disturb a call that waits for changes.
   * @throws ServingError `endpoint-failed`.
   */
  abstract readPosition(signal: AbortSignal): Promise<SourcePosition>;

  /**
   * Waits up to `waitMs` for changes after a position. The answer may be of another era.
   * @returns undefined when that part of the history is no longer available.
   * @throws ServingError `endpoint-failed`.
   */
  abstract readChanges(
    position: SourcePosition,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined>;

  /**
   * Returns the changes of endpoints after a position without waiting for any; the position of the
   * answer may be before the newest one. It doesn't disturb a call that waits for changes.
   * @returns undefined when that part of the history is no longer available.
   * @throws ServingError `endpoint-failed`.
   */
  abstract readEndpointChanges(
    position: SourcePosition,
    signal: AbortSignal,
  ): Promise<PublishedChanges | undefined>;
}
