/**
 * A generation that waits for an engine.
 *
 * Its task sleeps until the deadline; assigning or refusing the request ends the sleep at once.
 */
import type { GenerationKind, ServingError } from '../../core';
import type { LengthForecast, WaitingWork } from '../../decisions';
import type { Assignment, RoutedWork } from '../../services';

/** @internal */
export interface WaitingRequestParameters {
  readonly work: RoutedWork;
  readonly kind: GenerationKind;
  readonly forecast: LengthForecast;
  readonly neededTokens: number;
  readonly arrivedAtMs: number;
  readonly arrival: number;
}

/** @internal */
export class WaitingRequest implements WaitingWork {
  readonly work: RoutedWork;

  readonly kind: GenerationKind;

  readonly forecast: LengthForecast;

  readonly neededTokens: number;

  readonly arrivedAtMs: number;

  readonly arrival: number;

  readonly rank: number;

  readonly deadlineMs: number;

  private readonly settled = new AbortController();

  private settledAssignment: Assignment | undefined;

  private admitted = false;

  private settledError: ServingError | undefined;

  constructor(parameters: WaitingRequestParameters) {
    this.work = parameters.work;
    this.kind = parameters.kind;
    this.forecast = parameters.forecast;
    this.neededTokens = parameters.neededTokens;
    this.arrivedAtMs = parameters.arrivedAtMs;
    this.arrival = parameters.arrival;
    this.rank = parameters.kind.rank;
    this.deadlineMs = parameters.arrivedAtMs + parameters.kind.maxWaitMs;
  }

  /** Aborted when the request is assigned or refused. */
  get settledSignal(): AbortSignal {
    return this.settled.signal;
  }

  /** Whether the admission check has already allowed the request to wait. */
  get isAdmitted(): boolean {
    return this.admitted;
  }

  get assignment(): Assignment | undefined {
    return this.settledAssignment;
  }

  get error(): ServingError | undefined {
    return this.settledError;
  }

  admit(): void {
    this.admitted = true;
  }

  assign(assignment: Assignment): void {
    this.settledAssignment = assignment;
    this.settled.abort();
  }

  refuse(error: ServingError): void {
    this.settledError = error;
    this.settled.abort();
  }
}
