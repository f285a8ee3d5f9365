/** Queue of generations that wait for an engine, sorted by rank and then deadline. */
import { compareWaitingWork } from '../../decisions';
import type { WaitingRequest } from './WaitingRequest';

/** @internal */
export class WaitingQueue {
  private readonly requests: WaitingRequest[] = [];

  get size(): number {
    return this.requests.length;
  }

  add(request: WaitingRequest): void {
    const index = this.requests.findIndex((queued) => compareWaitingWork(request, queued) < 0);
    this.requests.splice(index < 0 ? this.requests.length : index, 0, request);
  }

  /** Does nothing if the request isn't queued. */
  remove(request: WaitingRequest): void {
    const index = this.requests.indexOf(request);
    if (index >= 0) this.requests.splice(index, 1);
  }

  /** Returns a copy, so that requests can be removed during iteration. */
  list(): ReadonlyArray<WaitingRequest> {
    return [...this.requests];
  }
}
