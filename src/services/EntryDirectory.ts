/**
 * Addresses that callers are sent to.
 */

/** @public */
export interface EntryAnswer {
  /** `ip:port`, at least one. */
  readonly addresses: ReadonlyArray<string>;
  /** How long callers may keep the answer. */
  readonly maxAgeMs: number;
}

/** @public */
export abstract class EntryDirectory {
  /** Whether this node takes callers itself. */
  abstract takesCallers(): boolean;

  abstract findAddresses(caller: {
    readonly dataCentre: string | undefined;
    readonly region: string | undefined;
  }): EntryAnswer;
}
