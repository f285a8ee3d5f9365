/**
 * Generations: runs of a model whose tokens reach their caller once and in order.
 *
 * Independent of the encoding towards the caller: a front end subclasses `GenerationReceiver`.
 */
import type { CustomerId, GenerationKind, KindClause, RequestId } from '../core';
import type { ContractInForce } from './ContractStore';

/** Path of the completions format below `/v1/`. @public */
export type CompletionPath = 'chat/completions' | 'completions';

/** A request for a generation, checked against the contract. @public */
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

/** A caller's wish to continue or cancel a generation, on any node. @public */
export interface GenerationReference {
  readonly requestId: RequestId;
  readonly customer: CustomerId;
  readonly inForce: ContractInForce;
  readonly token: string;
}

/** One event of the engine, unchanged. @public */
export interface GenerationEvent {
  /** Id after which a caller can resume. */
  readonly eventId: string;
  readonly data: string;
}

/** The receiving end of a generation. @public */
export abstract class GenerationReceiver {
  /** Aborted when the caller goes away; the reason is a `ServingError` where one applies. */
  abstract readonly disconnectSignal: AbortSignal;

  /** Whether nothing has reached the caller yet, so that a new generation may take over. */
  abstract readonly canRestart: boolean;

  /** Announces the generation whose events follow. */
  abstract begin(token: string): void;

  /** Takes one event. A promise means that the caller is behind and reading has to pause. */
  abstract write(event: GenerationEvent): Promise<void> | undefined;
}

/** @public */
export abstract class Generations {
  /**
   * Runs a generation to its end. Returns early when the caller has gone and nothing is left to do.
   * @throws ServingError when the generation can't be started or completed.
   */
  abstract run(order: GenerationRequest, receiver: GenerationReceiver): Promise<void>;

  /**
   * Continues after a position, or from the start without one.
   * @throws ServingError `invalid-token`, `unknown-generation`, `unknown-position`, `engine-lost`.
   */
  abstract resume(
    claim: GenerationReference,
    lastEventId: string | undefined,
    receiver: GenerationReceiver,
  ): Promise<void>;

  /** @throws ServingError `invalid-token`, `unknown-generation`. */
  abstract cancel(claim: GenerationReference): Promise<void>;
}
