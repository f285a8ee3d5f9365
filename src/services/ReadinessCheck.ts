/**
 * A condition for taking work. Plug-ins provide any number of them.
 */
/** @public */
export abstract class ReadinessCheck {
  /** Why the node can't take work yet, in plain words; undefined when it can. */
  abstract getNotReadyReason(): string | undefined;
}
