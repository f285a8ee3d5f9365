/**
 * HTTP route that returns the node addresses a caller should use.
 */
import type { Hono } from 'hono';
import type { Kernel } from '../kernel';
import { EntryDirectory, HttpRoutes } from '../services';
import { PATHS } from './wireNames';

const MS_PER_SECOND = 1_000;

/** @internal */
export class DirectoryRoutes extends HttpRoutes<Hono> {
  readonly audience = 'directory';

  constructor(private readonly kernel: Kernel) {
    super();
  }

  mount(app: Hono): void {
    app.get(PATHS.resolve, (context) => {
      const { addresses, maxAgeMs } = this.kernel.get(EntryDirectory).findAddresses({
        dataCentre: context.req.query('zone'),
        region: context.req.query('region'),
      });
      return context.json({ addresses, ttlS: maxAgeMs / MS_PER_SECOND });
    });
  }
}
