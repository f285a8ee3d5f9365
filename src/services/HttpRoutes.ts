/**
 * Groups of HTTP routes that plug-ins register.
 *
 * A group names the listener that it belongs to and mounts itself on the application object, whose
 * type the HTTP plug-in defines.
 */

/**
 * `caller`: requests of customers. `operator`: metrics, health, status. `directory`: lookup of
 * addresses by callers. `readiness`: the operator's check whether the node accepts callers. @public
 */
export type HttpAudience = 'caller' | 'operator' | 'directory' | 'readiness';

/** @typeParam App application object of the HTTP library. @public */
export abstract class HttpRoutes<App = unknown> {
  abstract readonly audience: HttpAudience;

  abstract mount(app: App): void;
}
