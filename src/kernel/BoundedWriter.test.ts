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

function createScene(): {
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
test('bounds the lines and tells what was left out', () => {
  const { clock, output, write } = createScene();
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

// Guards against a failed request whose line is lost among those of the others.
test('keeps important lines beyond the bound of the others', () => {
  const { output, write } = createScene();
  for (let count = 0; count < BURST; count++) write('request');
  write('request');
  write('refusal', true);
  expect(output.lines.at(-1)).toBe('refusal\n');
  expect(output.lines.join('')).toContain('lines left out');
});

// Guards against memory that fills with the lines of a reader that has stopped.
test('leaves lines out while the reader is behind', () => {
  const { output, write } = createScene();
  output.writableLength = LOG_OPTIONS.maxUnwrittenBytes + 1;
  write('refusal', true);
  expect(output.lines).toEqual([]);
  output.writableLength = 0;
  write('request');
  expect(output.lines).toHaveLength(2);
});
