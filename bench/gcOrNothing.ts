/**
 * Collects garbage where Node runs with `--expose-gc`.
 */
export function gcOrNothing(): void {
  (globalThis as { gc?: () => void }).gc?.();
}
