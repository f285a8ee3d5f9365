/**
 * Simulated output text. A token depends only on its generation and position, so that a test can
 * detect repeated, lost or foreign tokens.
 */
import { createRandom, drawLogNormal, hashText } from './seededRandom';

const HEX_DIGITS = 4;
const HEX_BASE = 16;

/** Returns the text of one token, such as `w17-3fa0 `. @public */
export function getOutputToken(generationId: string, position: number): string {
  const digest = hashText(`${generationId}:${position}`)
    .toString(HEX_BASE)
    .padStart(HEX_DIGITS, '0');
  return `w${position}-${digest.slice(-HEX_DIGITS)} `;
}

/** Returns the text of the first tokens of a generation. @public */
export function getOutputText(generationId: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, position) =>
    getOutputToken(generationId, position),
  ).join('');
}

/** Draws the output length for a request without one; independent of other generations. */
export function drawOutputTokens(
  generationId: string,
  options: {
    readonly seed: number;
    readonly medianOutputTokens: number;
    readonly outputLengthSigma: number;
  },
): number {
  const random = createRandom(hashText(`${options.seed}:${generationId}`));
  const { medianOutputTokens, outputLengthSigma } = options;
  return Math.max(1, Math.round(drawLogNormal(random, medianOutputTokens, outputLengthSigma)));
}
