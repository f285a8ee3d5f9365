/**
 * Reads one generation from its engine: every position once and in order, over a limited number of
 * connections.
 *
 * A connection that breaks while the engine is alive is replaced, from the next position, except
 * while a cancel for a disconnected caller is due: because of the new attachment, the engine would
 * refuse the cancel.
 */
import { getErrorAnswer, ServingError, type Clock, type GenerationId } from '../../core';
import { decideRelay } from '../../decisions';
import type { FleetEndpoint, GenerationRequest } from '../../services';
import {
  END_OF_STREAM,
  type CancelOutcome,
  type EngineClient,
  type EngineConnection,
  type EngineEvent,
} from './EngineClient';
import type { GenerationOptions } from './options';

/** @internal */
export interface ReaderParameters {
  readonly client: EngineClient;
  readonly clock: Clock;
  readonly options: GenerationOptions;
  readonly endpoint: FleetEndpoint;
  readonly generationId: GenerationId;
  readonly disconnectSignal: AbortSignal;
}

/** Whether a failure to attach may be temporary, with the engine still alive. */
function isTransient({ kind }: ServingError): boolean {
  return kind === 'endpoint-unreachable' || kind === 'overloaded';
}

/** Whether the engine has certainly not started the generation. */
function wasRefused({ kind }: ServingError): boolean {
  return getErrorAnswer(kind).run === 'not-run';
}

/** @internal */
export abstract class EngineReader {
  readonly endpoint: FleetEndpoint;

  readonly generationId: GenerationId;

  protected nextPosition = 0;

  private connection = new AbortController();

  private isStopped = false;

  private hasEnded = false;

  private readsWithoutCaller = false;

  constructor(protected readonly parameters: ReaderParameters) {
    this.endpoint = parameters.endpoint;
    this.generationId = parameters.generationId;
  }

  /** Whether the engine has sent the end of the generation. */
  get isComplete(): boolean {
    return this.hasEnded;
  }

  /** Whether the engine has, or may have, started the generation. */
  abstract get mayHaveStarted(): boolean;

  /**
   * @throws ServingError `endpoint-unreachable` and other refusals; any other error counts as a
   * broken connection.
   */
  protected abstract openFirst(signal: AbortSignal): Promise<EngineConnection>;

  /** @throws ServingError `engine-lost`, `position-gap`, or the refusal of the first attachment. */
  async *read(): AsyncGenerator<EngineEvent> {
    for (let reconnections = 0, attachments = 0; !this.isStopped; reconnections++, attachments++) {
      if (reconnections > 0) await this.prepareReconnection(reconnections);
      if (this.isStopped) return;
      try {
        const connection = await this.attach(attachments === 0);
        for await (const event of connection.events) {
          if (event.data === END_OF_STREAM) {
            this.recordEnd(event);
            return;
          }
          if (this.accept(event)) {
            reconnections = 0;
            yield event;
          }
        }
      } catch (thrown) {
        if (this.isStopped) return;
        this.rethrowUnlessTransient(thrown, attachments === 0);
      }
    }
  }

  /** Closes the connection; reading continues over a new one. */
  replaceConnection(): void {
    this.connection.abort();
  }

  /** Allows reconnections after the caller has disconnected: the engine finishes the generation. */
  continueWithoutCaller(): void {
    this.readsWithoutCaller = true;
  }

  /** Stops reading permanently, without a cancel at the engine. */
  stop(): void {
    this.isStopped = true;
    this.connection.abort();
  }

  private async attach(isFirst: boolean): Promise<EngineConnection> {
    this.connection = new AbortController();
    const { signal } = this.connection;
    if (isFirst) return this.openFirst(signal);
    const after = this.nextPosition === 0 ? undefined : this.nextPosition - 1;
    return this.parameters.client.resume(this.endpoint, this.generationId, after, signal);
  }

  private async prepareReconnection(reconnections: number): Promise<void> {
    const { disconnectSignal, clock, options } = this.parameters;
    if (reconnections > options.maxReconnections) throw this.createLostError();
    await clock.sleep(options.reconnectDelayMs * reconnections);
    if (disconnectSignal.aborted && !this.readsWithoutCaller) throw this.createLostError();
  }

  private accept({ position }: EngineEvent): boolean {
    const verdict = decideRelay(this.nextPosition, position);
    if (verdict.action === 'stop') {
      throw new ServingError('position-gap', { detail: verdict.reason });
    }
    if (verdict.action === 'relay') this.nextPosition += 1;
    return verdict.action === 'relay';
  }

  /** The end event has the position after the last token, which reveals a lost token. */
  private recordEnd({ position }: EngineEvent): void {
    if (position !== this.nextPosition) {
      throw new ServingError('position-gap', {
        detail: `The engine ended at position ${position}; expected ${this.nextPosition}.`,
      });
    }
    this.hasEnded = true;
  }

  private rethrowUnlessTransient(thrown: unknown, isFirst: boolean): void {
    if (!(thrown instanceof ServingError)) return;
    if (isFirst && (!isTransient(thrown) || !this.mayHaveStarted)) throw thrown;
    if (isTransient(thrown)) return;
    if (thrown.kind === 'position-gap' || thrown.kind === 'engine-lost') throw thrown;
    throw this.createLostError(thrown);
  }

  private createLostError(cause?: unknown): ServingError {
    const { endpointId } = this.endpoint;
    return new ServingError('engine-lost', {
      detail: `${endpointId} was lost before position ${this.nextPosition}.`,
      cause,
    });
  }
}

/** Reader of a generation that this node starts. @internal */
export class StartingReader extends EngineReader {
  private firstAttachment: string | undefined;

  private wasSent = false;

  constructor(
    parameters: ReaderParameters,
    private readonly request: GenerationRequest,
  ) {
    super(parameters);
  }

  get mayHaveStarted(): boolean {
    return this.wasSent;
  }

  protected async openFirst(signal: AbortSignal): Promise<EngineConnection> {
    const { client } = this.parameters;
    this.wasSent = true;
    try {
      const connection = await client.open(this.endpoint, this.generationId, this.request, signal);
      this.firstAttachment = connection.attachment;
      return connection;
    } catch (thrown) {
      if (thrown instanceof ServingError && wasRefused(thrown)) this.wasSent = false;
      throw thrown;
    }
  }

  /**
   * Cancels the generation unless there is a newer attachment than the one that started it. Naming
   * a later attachment of this node could cancel a stream that the caller resumed elsewhere before.
   */
  async cancelUnlessResumed(): Promise<CancelOutcome> {
    if (!this.firstAttachment) return 'unknown';
    return this.parameters.client.cancel(this.endpoint, this.generationId, this.firstAttachment);
  }
}

/** Reader of a generation that a caller resumes here. @internal */
export class ResumingReader extends EngineReader {
  readonly mayHaveStarted = true;

  constructor(
    parameters: ReaderParameters,
    private readonly afterPosition: number | undefined,
  ) {
    super(parameters);
    this.nextPosition = afterPosition === undefined ? 0 : afterPosition + 1;
  }

  protected async openFirst(signal: AbortSignal): Promise<EngineConnection> {
    const { client } = this.parameters;
    return client.resume(this.endpoint, this.generationId, this.afterPosition, signal);
  }
}
