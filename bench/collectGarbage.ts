/**
 * Collects garbage where Node runs with `--expose-gc`.
 */
export function collectGarbage(): void {
  (globalThis as { gc?: () => void }).gc?.();
}
