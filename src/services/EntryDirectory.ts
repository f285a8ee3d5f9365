/**
 * Directory of the node addresses that callers should use.
 */

/** @public */
export interface EntryAnswer {
  /** `ip:port`, at least one. */
  readonly addresses: ReadonlyArray<string>;
  /** How long callers may cache the addresses. */
  readonly maxAgeMs: number;
}

/** @public */
export abstract class EntryDirectory {
  /** Whether this node accepts callers itself. */
  abstract takesCallers(): boolean;

  abstract findAddresses(caller: {
    readonly dataCentre: string | undefined;
    readonly region: string | undefined;
  }): EntryAnswer;
}
