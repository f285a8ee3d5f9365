/** Clock that runs on the simulated time of the discrete-event loop. */
import { Clock } from '../src/core';
import type { EventLoop } from './EventLoop';

export class EventClock extends Clock {
  constructor(private readonly loop: EventLoop) {
    super();
  }

  nowMs(): number {
    return this.loop.nowMs;
  }

  wallMs(): number {
    return this.loop.nowMs;
  }

  async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted || delayMs <= 0) return;
    await new Promise<void>((resolve) => {
      this.loop.schedule(this.loop.nowMs + delayMs, resolve);
      signal?.addEventListener('abort', () => resolve(), { once: true });
    });
  }
}
