import * as fc from 'fast-check';
import { AnswersModel, interleavings } from './answersModel';
import { FrontFixture } from './FrontFixture';

/** More runs and other seeds are started by hand. */
const RUNS = Number(process.env.ANSWERS_RUNS ?? 8);
const SEED = Number(process.env.ANSWERS_SEED ?? 1);

// Guards against requests with no outcome, or with two, when a change of the configuration, an error,
// the end of an engine and the close of a connection meet in any order.
test('any interleaving gives each request exactly one outcome', async () => {
  const fixture = await FrontFixture.start();
  const model = await AnswersModel.start(fixture);
  try {
    await fc.assert(
      fc.asyncProperty(interleavings, async (steps) => {
        const outcomes = await model.run(steps);
        // A caller that closed its connection may have left before its request was read.
        const wrong = outcomes.filter(({ hasClosed, answers, endings }) =>
          hasClosed ? endings > 1 || answers > 1 : endings !== 1 || answers !== 1,
        );
        expect(wrong).toEqual([]);
      }),
      { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );
    expect(await model.countUnanswered()).toBe(0);
  } finally {
    await fixture.stop();
  }
}, 600_000);
