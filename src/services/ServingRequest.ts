/**
 * A caller's request, independent of its encoding, and the dialect that encodes it.
 *
 * A dialect translates between the names on the wire and the types below and makes no decisions.
 * All code that makes decisions uses only these types.
 */
import type {
  CallerRequestId,
  CustomerId,
  EndpointId,
  PromptPart,
  PromptPartId,
  VmId,
} from '../core';

/** Names and values of headers, in the order and spelling of the wire. @public */
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
  /** Chosen by the caller, unique for each of its attempts. */
  readonly requestId: CallerRequestId;
  readonly method: string;
  readonly host: string;
  /** Path and query, byte for byte. */
  readonly target: string;
  readonly apiKey: string | undefined;
  /** Timeout of the caller, from the arrival of the request; undefined when not stated. */
  readonly callerTimeoutMs: number | undefined;
  readonly prompt: PromptSize | undefined;
  /** Parts of the prompt that other requests may have too, in their order. */
  readonly sharedPromptParts: ReadonlyArray<PromptPartId>;
  /** The same parts with their sizes. */
  readonly sharedPrompt: ReadonlyArray<PromptPart>;
  /** The last event that the caller received from an earlier run. */
  readonly lastEventId: string | undefined;
  /**
   * The attempt that brought the first event of a stream, for a caller that takes the stream up again;
   * undefined if it doesn't say so.
   */
  readonly resumedRequestId: CallerRequestId | undefined;
  /** Statement of another node that has passed the request to this one; not verified. */
  readonly passedStatement?: string;
  /** Headers to forward to the endpoint, without those that the system sets. */
  readonly headers: HeaderList;
}

/** A copy of the KV cache of a run, from which another engine can continue it. @public */
export interface KvCacheCopy {
  /** `ip:port` of the engine to which the handle applies. */
  readonly address: string;
  readonly handle: string;
}

/** Parameters that the system adds to a request to an endpoint. @public */
export interface DispatchParameters {
  readonly expectedEndpointId: EndpointId;
  readonly customer: CustomerId | undefined;
  readonly remainingMs: number;
  readonly lastEventId?: string;
  readonly continueFrom?: KvCacheCopy;
  /** `ip:port` of an engine that receives a copy of the run's KV cache as it grows. */
  readonly backUpTo?: string;
  /** Order in which the engine admits requests, 0 first; undefined for the engine's default. */
  readonly priority?: number;
}

/** Status and headers of an endpoint's answer. @public */
export interface AnswerHead {
  readonly status: number;
  /** Headers for the caller. */
  readonly headers: HeaderList;
  /** False for an answer that belongs to another request. */
  readonly isForRequest: boolean;
  /** Whether the answer names no request, so that only its connection tells which one it is for. */
  readonly namesNoRequest: boolean;
  /** Whether the endpoint states that it has not run the request and will not. */
  readonly isNotRun: boolean;
  /** Whether another endpoint now uses the address. */
  readonly isOtherEndpoint: boolean;
  /** Whether the answer carries the endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint that sent the answer says that it is leaving. */
  readonly isLeaving: boolean;
  /** How much longer the endpoint that sent the answer is cold; undefined if it doesn't say. */
  readonly coldRemainingMs: number | undefined;
  /**
   * Requests a second that the endpoint that sent the answer takes from all nodes together; undefined
   * if it names no limit.
   */
  readonly requestLimitPerSecond: number | undefined;
  /**
   * Requests that the endpoint that sent the answer can reject in a second without falling over;
   * undefined if it isn't brittle.
   */
  readonly maxRejectionsPerSecond: number | undefined;
}

/** Answer of an engine to an order to copy the KV cache of a run. @public */
export type CopyOutcome =
  | { readonly outcome: 'copied'; readonly handle: string; readonly eventsMade: number }
  | { readonly outcome: 'no-room'; readonly handle: string | undefined }
  | { readonly outcome: 'no-such-run' }
  | { readonly outcome: 'busy' };

/** A call of an engine's control API. @public */
export interface EngineCall {
  readonly method: string;
  readonly target: string;
  readonly body: string | undefined;
}

/** Parameters that a node adds to a request that it passes to another node. @public */
export interface PassedParameters {
  readonly to: VmId;
  readonly remainingMs: number;
  readonly passedStatement: string;
}

/** Encoding of requests and answers between callers, this system and endpoints. @public */
export abstract class RequestDialect {
  /** @throws ServingError `malformed-request`. */
  abstract readRequest(
    line: { readonly method: string; readonly target: string },
    headers: HeaderList,
  ): ServingRequest;

  abstract writeHeaders(request: ServingRequest, parameters: DispatchParameters): HeaderList;

  /** Returns a caller's headers for another node, to which the request is passed. */
  abstract writePassedHeaders(headers: HeaderList, parameters: PassedParameters): HeaderList;

  abstract readAnswer(request: ServingRequest, status: number, headers: HeaderList): AnswerHead;

  /**
   * Returns the headers that identify the request in an answer of the system itself.
   * @param statesNotRun whether they tell another node that the request has not run and won't.
   */
  abstract writeAnswerHeaders(requestId: CallerRequestId, statesNotRun: boolean): HeaderList;

  /** Orders an engine to copy a run's KV cache to another; `isLast` stops the run first. */
  abstract writeCopyOrder(
    requestId: CallerRequestId,
    toAddress: string,
    isLast: boolean,
  ): EngineCall;

  abstract readCopyAnswer(status: number, body: string): CopyOutcome;

  /** Whether the endpoint that sent an answer with these headers says that it is leaving. */
  abstract saysLeaving(headers: HeaderList): boolean;

  /** Returns the handle of the copy that an engine holds of a run because of `backUpTo`. */
  abstract getBackupHandle(requestId: CallerRequestId): string;
}
