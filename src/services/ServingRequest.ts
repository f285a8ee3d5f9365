/**
 * A request of a caller in the terms of the product, and the dialect that it arrived in.
 *
 * A dialect knows the names on the wire and decides nothing. Everything that decides reads and
 * makes the types below.
 */
import type { CallerRequestId, CustomerId, EndpointId } from '../core';

/** Name and value as they stand on the wire, in their order. @public */
export type HeaderList = ReadonlyArray<readonly [string, string]>;

/** @public */
export interface PromptSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's own estimate of the output. */
  readonly expectedOutputTokens: number | undefined;
}

/** @public */
export interface ServingRequest {
  /** Chosen by the caller; each attempt of a caller has its own. */
  readonly requestId: CallerRequestId;
  readonly method: string;
  readonly host: string;
  /** Path and query, byte for byte. */
  readonly target: string;
  readonly apiKey: string | undefined;
  /** How long the caller waits, from the arrival; undefined when it doesn't say. */
  readonly callerTimeoutMs: number | undefined;
  readonly prompt: PromptSize | undefined;
  /** The last event that the caller has of an earlier run. */
  readonly lastEventId: string | undefined;
  /** Headers for the endpoint, without those that the system sets. */
  readonly headers: HeaderList;
}

/** Where memory lies from which a run goes on. @public */
export interface KvCacheCopy {
  /** `ip:port` of the engine that is named together with the handle. */
  readonly address: string;
  readonly handle: string;
}

/** What the system tells an endpoint about a request. @public */
export interface DispatchParameters {
  readonly expectedEndpointId: EndpointId;
  readonly customer: CustomerId | undefined;
  readonly remainingMs: number;
  readonly lastEventId?: string;
  readonly continueFrom?: KvCacheCopy;
  /** `ip:port` of an engine that gets a copy of the run's memory as it grows. */
  readonly backUpTo?: string;
}

/** First part of an endpoint's answer. @public */
export interface AnswerHead {
  readonly status: number;
  /** Headers for the caller. */
  readonly headers: HeaderList;
  /** Whether it answers this request; false for an answer that belongs to another. */
  readonly isForRequest: boolean;
  /** Whether the endpoint says that it hasn't run the request and won't. */
  readonly isNotRun: boolean;
  /** Whether the address belongs to another endpoint by now. */
  readonly isOtherEndpoint: boolean;
  /** Whether the answer carries the endpoint's signature. */
  readonly isSigned: boolean;
}

/** What an engine answered to an order to copy the memory of a run. @public */
export type CopyOutcome =
  | { readonly outcome: 'copied'; readonly handle: string; readonly eventsMade: number }
  | { readonly outcome: 'no-room'; readonly handle: string | undefined }
  | { readonly outcome: 'no-such-run' }
  | { readonly outcome: 'busy' };

/** A call of an engine's own interface. @public */
export interface EngineCall {
  readonly method: string;
  readonly target: string;
  readonly body: string | undefined;
}

/** Names of the wire between callers, this system and endpoints. @public */
export abstract class RequestDialect {
  /** @throws ServingError `malformed-request`. */
  abstract readRequest(
    line: { readonly method: string; readonly target: string },
    headers: HeaderList,
  ): ServingRequest;

  abstract writeHeaders(request: ServingRequest, order: DispatchParameters): HeaderList;

  abstract readAnswer(request: ServingRequest, status: number, headers: HeaderList): AnswerHead;

  /** Headers that name the request in an answer of the system's own. */
  abstract writeAnswerHeaders(requestId: CallerRequestId): HeaderList;

  /** Orders the engine to copy a run's memory to another; `isLast` stops the run first. */
  abstract writeCopyOrder(
    requestId: CallerRequestId,
    toAddress: string,
    isLast: boolean,
  ): EngineCall;

  abstract readCopyAnswer(status: number, body: string): CopyOutcome;

  /** Names of a run's copy that an engine holds because of `backUpTo`. */
  abstract getBackupHandle(requestId: CallerRequestId): string;
}
