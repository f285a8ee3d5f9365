/** Requests that wait for room, by rank and then deadline. */
import { compareWaitingWork } from '../../decisions';
import type { WaitingRequest } from './WaitingRequest';

/** @internal */
export class WaitingQueue {
  private readonly waiting: WaitingRequest[] = [];

  get size(): number {
    return this.waiting.length;
  }

  add(request: WaitingRequest): void {
    const index = this.waiting.findIndex((held) => compareWaitingWork(request, held) < 0);
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, request);
  }

  /** Does nothing when the request isn't held. */
  remove(request: WaitingRequest): void {
    const index = this.waiting.indexOf(request);
    if (index >= 0) this.waiting.splice(index, 1);
  }

  /** A copy, so that requests can be removed while it is walked through. */
  list(): ReadonlyArray<WaitingRequest> {
    return [...this.waiting];
  }
}
