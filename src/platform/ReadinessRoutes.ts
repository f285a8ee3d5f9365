/**
 * Readiness probe, by which the platform checks whether a node accepts callers.
 */
import type { Hono } from 'hono';
import type { Kernel } from '../kernel';
import { EntryDirectory, HttpRoutes } from '../services';
import { PATHS } from './wireNames';

const OK = 200;
const UNAVAILABLE = 503;

/** @internal */
export class ReadinessRoutes extends HttpRoutes<Hono> {
  readonly audience = 'readiness';

  constructor(private readonly kernel: Kernel) {
    super();
  }

  mount(app: Hono): void {
    app.get(PATHS.ready, (context) => {
      const isReady = this.kernel.get(EntryDirectory).takesCallers();
      return context.json({ ready: isReady }, isReady ? OK : UNAVAILABLE);
    });
  }
}
