/**
 * What the engine generates: a function of the generation and the position alone, so that a test can
 * tell a repeated, lost or foreign token from the right one.
 */
import { createRandom, drawLogNormal, hashText } from './seededRandom';

const HEX_DIGITS = 4;
const HEX_BASE = 16;

/** Text of one token, such as `w17-3fa0 `. @public */
export function getOutputToken(generationId: string, position: number): string {
  const mark = hashText(`${generationId}:${position}`).toString(HEX_BASE).padStart(HEX_DIGITS, '0');
  return `w${position}-${mark.slice(-HEX_DIGITS)} `;
}

/** Text of the first tokens of a generation. @public */
export function getOutputText(generationId: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, position) =>
    getOutputToken(generationId, position),
  ).join('');
}

/** Output length of a generation that names none itself; it doesn't depend on other generations. */
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
