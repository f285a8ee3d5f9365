import { ManualClock } from '../core';
import { BoundedWriter } from './BoundedWriter';
import { LOG_OPTIONS } from './options';

class Output {
  readonly lines: string[] = [];

  writableLength = 0;

  write(line: unknown): boolean {
    this.lines.push(String(line));
    return true;
  }
}

function createFixture(): {
  readonly clock: ManualClock;
  readonly output: Output;
  readonly write: (event: string, isImportant?: boolean) => void;
} {
  const clock = new ManualClock();
  const output = new Output();
  const writer = new BoundedWriter(output, clock);
  return {
    clock,
    output,
    write: (event, isImportant = false) => {
      writer.write({ format: () => `${event}\n`, event, isImportant });
    },
  };
}

const BURST = LOG_OPTIONS.ordinaryLinesPerSecond * LOG_OPTIONS.burstSeconds;

// Guards against a log that grows without bound under load.
test('limits the lines and reports the dropped ones', () => {
  const { clock, output, write } = createFixture();
  for (let count = 0; count < BURST + 50; count++) write('decision');
  expect(output.lines).toHaveLength(BURST);
  clock.advance(1_000);
  write('request');
  expect(JSON.parse(output.lines.at(-2)!)).toMatchObject({
    event: 'lines left out',
    counts: { decision: 50 },
  });
  expect(output.lines.at(-1)).toBe('request\n');
});

// Guards against losing the line of a failed request while routine lines use up the rate limit.
test('writes important lines beyond the limit of the others', () => {
  const { output, write } = createFixture();
  for (let count = 0; count < BURST; count++) write('request');
  write('request');
  write('refusal', true);
  expect(output.lines.at(-1)).toBe('refusal\n');
  expect(output.lines.join('')).toContain('lines left out');
});

// Guards against memory growth from buffered lines when the reader of the output stalls.
test('drops lines while the reader is behind', () => {
  const { output, write } = createFixture();
  output.writableLength = LOG_OPTIONS.maxUnwrittenBytes + 1;
  write('refusal', true);
  expect(output.lines).toEqual([]);
  output.writableLength = 0;
  write('request');
  expect(output.lines).toHaveLength(2);
});
