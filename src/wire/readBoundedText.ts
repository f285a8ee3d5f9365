/**
 * Reads a body up to a length; an endpoint in trouble may send bytes without end.
 */
import { ServingError } from '../core';

/** @throws ServingError `endpoint-failed` when the body is longer; the connection is then closed. */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    // Leaving the loop destroys the body, and with it the connection.
    if (bytes > maxBytes) {
      throw new ServingError('endpoint-failed', { detail: `The body exceeds ${maxBytes} bytes.` });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
