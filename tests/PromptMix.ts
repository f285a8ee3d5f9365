/**
 * The prompts that callers send to a fleet of crashing engines, as lists of their shared parts.
 */
import type { PromptPartId } from '../src/core';
import type { SeededRandom } from '../src/decisions';

/** The shared parts of one prompt, in order. */
export type PromptParts = ReadonlyArray<PromptPartId>;

export abstract class PromptMix {
  abstract createDeadly(random: SeededRandom): PromptParts;

  abstract createSound(random: SeededRandom): PromptParts;
}

const FIRST_PARTS = 8;
const SECOND_PARTS = 70;

/** Sound prompts share their first two parts with deadly ones, which have another part behind them. */
export class SharedFirstParts extends PromptMix {
  constructor(private readonly deadlyParts: ReadonlyArray<string>) {
    super();
  }

  override createDeadly(random: SeededRandom): PromptParts {
    const deadly = this.deadlyParts[random.nextIndex(this.deadlyParts.length)] ?? '';
    return ['first-0', 'second-0', deadly] as PromptPartId[];
  }

  override createSound(random: SeededRandom): PromptParts {
    const first = `first-${random.nextIndex(FIRST_PARTS)}`;
    return [first, `second-${random.nextIndex(SECOND_PARTS)}`] as PromptPartId[];
  }
}

/** One position of the prompts of a kind, beside the deadly part. */
export interface PromptPosition {
  /** Number of parts among which the prompts differ here. */
  readonly choices: number;
  /** Whether sound prompts have these parts too. */
  readonly isShared: boolean;
}

function chooseParts(
  where: string,
  positions: ReadonlyArray<PromptPosition>,
  random: SeededRandom,
  isSound: boolean,
): ReadonlyArray<string> {
  return positions.flatMap(({ choices, isShared }, index) =>
    isShared || !isSound ? [`${where}-${index}-${random.nextIndex(choices)}`] : [],
  );
}

/** Prompts with a deadly part at any position, among parts that sound prompts may share. */
export class MixedPositions extends PromptMix {
  constructor(
    private readonly before: ReadonlyArray<PromptPosition>,
    private readonly deadlyPart: string,
    private readonly after: ReadonlyArray<PromptPosition>,
  ) {
    super();
  }

  override createDeadly(random: SeededRandom): PromptParts {
    return this.create(this.deadlyPart, random, false);
  }

  /** Sound prompts have another part in the place of the deadly one. */
  override createSound(random: SeededRandom): PromptParts {
    return this.create('replacement', random, true);
  }

  private create(middle: string, random: SeededRandom, isSound: boolean): PromptParts {
    return [
      ...chooseParts('before', this.before, random, isSound),
      middle,
      ...chooseParts('after', this.after, random, isSound),
    ] as PromptPartId[];
  }
}
