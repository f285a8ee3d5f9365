/** Tunables of telling callers which addresses to use. */
export const ENTRY_OPTIONS = {
  /** How long a caller may keep the answer; a drain waits for nothing, but tells other addresses. */
  maxAgeMs: 5_000,
  /** Addresses in one answer. */
  maxAddresses: 16,
} as const;
