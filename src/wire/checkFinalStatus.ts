/**
 * Statuses with which an endpoint may end an exchange (RFC 9110, section 15).
 *
 * An HTTP client takes any three digits. An answer with another status is no answer: it says nothing of
 * the request, and callers couldn't tell what it means.
 */

const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** @throws Error for a status that no final answer has. */
export function checkFinalStatus(status: number): void {
  if (status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS) return;
  throw new Error(`The response has the status ${status}, which is none of a final answer.`);
}
