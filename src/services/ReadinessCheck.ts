/**
 * A condition for accepting work. Plug-ins register any number of them.
 */
/** @public */
export abstract class ReadinessCheck {
  /** Returns in plain words why the node cannot accept work yet; undefined when it can. */
  abstract getNotReadyReason(): string | undefined;
}
