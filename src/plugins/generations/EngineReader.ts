/**
 * Reads one generation from its engine: every position once and in order, over as many connections
 * as are allowed.
 *
 * A connection that breaks while the engine lives is replaced from the next position, but not while
 * a cancel for a caller who left is due: the engine would refuse it because of the new attachment.
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

/** Failures of a later attachment that may pass while the engine lives. */
function mayPass({ kind }: ServingError): boolean {
  return kind === 'endpoint-unreachable' || kind === 'overloaded';
}

/** Whether the engine has not started the generation for certain. */
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

  private isKept = false;

  constructor(protected readonly parameters: ReaderParameters) {
    this.endpoint = parameters.endpoint;
    this.generationId = parameters.generationId;
  }

  /** Whether the engine has ended the generation itself. */
  get isComplete(): boolean {
    return this.hasEnded;
  }

  /** Whether the generation was started, or may have been, at the engine. */
  abstract get mayHaveStarted(): boolean;

  /** @throws ServingError `endpoint-unreachable` and other refusals; anything else is a break. */
  protected abstract openFirst(signal: AbortSignal): Promise<EngineConnection>;

  /** @throws ServingError `engine-lost`, `position-gap`, or the refusal of the first attachment. */
  async *read(): AsyncGenerator<EngineEvent> {
    for (let breaks = 0, attachments = 0; !this.isStopped; breaks++, attachments++) {
      if (breaks > 0) await this.prepareReconnection(breaks);
      if (this.isStopped) return;
      try {
        const connection = await this.attach(attachments === 0);
        for await (const event of connection.events) {
          if (event.data === END_OF_STREAM) {
            this.noteEnd(event);
            return;
          }
          if (this.accept(event)) {
            breaks = 0;
            yield event;
          }
        }
      } catch (thrown) {
        if (this.isStopped) return;
        this.rethrowFinal(thrown, attachments === 0);
      }
    }
  }

  /** Ends the connection; reading goes on over a new one. */
  replaceConnection(): void {
    this.connection.abort();
  }

  /** Notes that the engine finishes the generation although the caller has left. */
  continueWithoutCaller(): void {
    this.isKept = true;
  }

  /** Ends reading for good; the engine is not told. */
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

  private async prepareReconnection(breaks: number): Promise<void> {
    const { disconnectSignal, clock, options } = this.parameters;
    if (breaks > options.maxReconnections) throw this.createLoss();
    await clock.sleep(options.reconnectDelayMs * breaks);
    if (disconnectSignal.aborted && !this.isKept) throw this.createLoss();
  }

  private accept({ position }: EngineEvent): boolean {
    const verdict = decideRelay(this.nextPosition, position);
    if (verdict.action === 'stop') {
      throw new ServingError('position-gap', { detail: verdict.reason });
    }
    if (verdict.action === 'relay') this.nextPosition += 1;
    return verdict.action === 'relay';
  }

  /** The end has the position after the last token, so that a lost one is noticed. */
  private noteEnd({ position }: EngineEvent): void {
    if (position !== this.nextPosition) {
      throw new ServingError('position-gap', {
        detail: `The engine ended at ${position} where ${this.nextPosition} was due.`,
      });
    }
    this.hasEnded = true;
  }

  private rethrowFinal(thrown: unknown, isFirst: boolean): void {
    if (!(thrown instanceof ServingError)) return;
    if (isFirst && (!mayPass(thrown) || !this.mayHaveStarted)) throw thrown;
    if (mayPass(thrown)) return;
    if (thrown.kind === 'position-gap' || thrown.kind === 'engine-lost') throw thrown;
    throw this.createLoss(thrown);
  }

  private createLoss(cause?: unknown): ServingError {
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
    private readonly order: GenerationRequest,
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
      const connection = await client.open(this.endpoint, this.generationId, this.order, signal);
      this.firstAttachment = connection.attachment;
      return connection;
    } catch (thrown) {
      if (thrown instanceof ServingError && wasRefused(thrown)) this.wasSent = false;
      throw thrown;
    }
  }

  /**
   * Cancels after the caller has left. Names the attachment that started the generation. Naming a later one of this node could cancel
   * a stream that the caller resumed elsewhere before it.
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
