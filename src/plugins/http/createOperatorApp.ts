/**
 * The hono application for operators: health, readiness, metrics and the routes of plug-ins.
 */
import { Hono } from 'hono';
import type { Kernel } from '../../kernel';
import { HttpRoutes, ReadinessCheck, ServingMetrics } from '../../services';

/** @internal */
export function createOperatorApp(kernel: Kernel): Hono {
  const app = new Hono();
  app.get('/healthz', (context) => context.json({ state: kernel.state }));
  app.get('/readyz', (context) => {
    const obstacles = kernel
      .getAll(ReadinessCheck)
      .map((check) => check.getNotReadyReason())
      .filter((reason) => reason !== undefined);
    const isReady = kernel.state === 'serving' && obstacles.length === 0;
    return context.json({ ready: isReady, state: kernel.state, obstacles }, isReady ? 200 : 503);
  });
  app.get('/metrics', async (context) => {
    const { contentType, text } = await kernel.get(ServingMetrics).render();
    return context.body(text, 200, { 'content-type': contentType });
  });
  kernel
    .getAll(HttpRoutes)
    .filter((routes) => routes.audience === 'operator')
    .forEach((routes) => routes.mount(app));
  return app;
}
