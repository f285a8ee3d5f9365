/**
 * Generations: runs of a model whose tokens are delivered to the caller once and in order.
 *
 * Independent of the encoding of responses: a front end subclasses `GenerationReceiver`.
 */
import type { CustomerId, GenerationKind, KindClause, RequestId } from '../core';
import type { ContractInForce } from './ContractStore';

/** Path of a completions endpoint below `/v1/`. @public */
export type CompletionPath = 'chat/completions' | 'completions';

/** A request for a generation, validated against the contract. @public */
export interface GenerationRequest {
  readonly requestId: RequestId;
  readonly inForce: ContractInForce;
  readonly clause: KindClause<GenerationKind>;
  readonly path: CompletionPath;
  /** Body for the engine, without the fields that the node sets. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly promptTokens: number;
  readonly prefixHash: string | undefined;
}

/** Identifies a generation that a caller resumes or cancels, on any node. @public */
export interface GenerationReference {
  readonly requestId: RequestId;
  readonly customer: CustomerId;
  readonly inForce: ContractInForce;
  readonly token: string;
}

/** An event of the engine, unchanged. @public */
export interface GenerationEvent {
  /** Id after which a caller can resume. */
  readonly eventId: string;
  readonly data: string;
}

/** The receiving end of a generation. @public */
export abstract class GenerationReceiver {
  /** Aborted when the caller disconnects; the reason is a `ServingError` where one applies. */
  abstract readonly disconnectSignal: AbortSignal;

  /** Whether a new generation can replace this one because nothing was sent to the caller yet. */
  abstract readonly canRestart: boolean;

  /** Announces the generation whose events follow. */
  abstract begin(token: string): void;

  /** Writes an event. A returned promise means backpressure: reading pauses until it resolves. */
  abstract write(event: GenerationEvent): Promise<void> | undefined;
}

/** @public */
export abstract class Generations {
  /**
   * Runs a generation to its end. Returns early when the caller has disconnected and the generation
   * need not be finished.
   * @throws ServingError when the generation can't be started or completed.
   */
  abstract run(request: GenerationRequest, receiver: GenerationReceiver): Promise<void>;

  /**
   * Resumes a generation after an event, or from its start without `lastEventId`.
   * @throws ServingError `invalid-token`, `unknown-generation`, `unknown-position`, `engine-lost`.
   */
  abstract resume(
    reference: GenerationReference,
    lastEventId: string | undefined,
    receiver: GenerationReceiver,
  ): Promise<void>;

  /** @throws ServingError `invalid-token`, `unknown-generation`. */
  abstract cancel(reference: GenerationReference): Promise<void>;
}
