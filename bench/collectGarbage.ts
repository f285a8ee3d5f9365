/**
 * Collects garbage if Node runs with `--expose-gc`; otherwise does nothing.
 */
export function collectGarbage(): void {
  (globalThis as { gc?: () => void }).gc?.();
}
