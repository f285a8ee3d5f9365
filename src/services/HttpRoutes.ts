/**
 * Groups of HTTP paths that plug-ins serve.
 *
 * The type of the application object is the HTTP plug-in's matter; a group names the listener that
 * it belongs to and mounts itself.
 */

/**
 * `caller`: served to customers. `operator`: metrics, health, status. `directory`: asked by callers
 * for addresses. `readiness`: asked by the operator whether the node takes callers. @public
 */
export type HttpAudience = 'caller' | 'operator' | 'directory' | 'readiness';

/** @typeParam App application object of the HTTP library. @public */
export abstract class HttpRoutes<App = unknown> {
  abstract readonly audience: HttpAudience;

  abstract mount(app: App): void;
}
