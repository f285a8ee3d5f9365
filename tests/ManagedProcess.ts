/**
 * A process that a test starts, watches by its output and ends by its pid.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import path from 'node:path';
import { createInterface, type Interface } from 'node:readline';
import { waitUntil } from './waitUntil';

/** One JSON line of standard output. */
export type OutputLine = Readonly<Record<string, unknown>>;

const ROOT = path.join(__dirname, '..');

function parseLine(text: string): OutputLine {
  try {
    return JSON.parse(text) as OutputLine;
  } catch {
    return { text };
  }
}

const running = new Set<ChildProcess>();

// A test run that is interrupted leaves no process behind.
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

export class ManagedProcess {
  private readonly child: ChildProcess;

  private readonly outputLines: OutputLine[] = [];

  private readonly reader: Interface;

  private errorText = '';

  private readonly closed: Promise<unknown>;

  /** @param args script below the root of the project and its arguments. */
  constructor(args: ReadonlyArray<string>, environment: Readonly<Record<string, string>> = {}) {
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      env: environment,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.closed = once(child, 'close');
    this.reader = createInterface({ input: child.stdout }).on('line', (line) =>
      this.outputLines.push(parseLine(line)),
    );
    child.stderr.on('data', (chunk: Buffer) => {
      this.errorText += chunk.toString();
    });
    running.add(child);
    child.once('close', () => running.delete(child));
  }

  get lines(): ReadonlyArray<OutputLine> {
    return this.outputLines;
  }

  /** What was written to standard error. */
  get errors(): string {
    return this.errorText;
  }

  get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  get exitCode(): number | null {
    return this.child.exitCode;
  }

  /** Waits for a line of output; fails when the process ends without it. */
  async waitForLine(what: string, matches: (line: OutputLine) => boolean): Promise<OutputLine> {
    return waitUntil(what, () => {
      const found = this.outputLines.find(matches);
      if (!found && this.hasEnded) throw new Error(`ended without ${what}: ${this.errorText}`);
      return found;
    });
  }

  /** Ends the process at once, as the loss of its VM would. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.closed;
  }

  /** Asks the process to end; see `waitForExit`. */
  terminate(): void {
    this.child.kill('SIGTERM');
  }

  /** Pauses the process: its connections stay open and nothing is answered. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  unfreeze(): void {
    this.child.kill('SIGCONT');
  }

  /** Leaves the output in the pipe, as a collector of logs that hangs does. */
  stopReading(): void {
    this.reader.pause();
  }

  resumeReading(): void {
    this.reader.resume();
  }

  async waitForExit(): Promise<number | null> {
    await this.closed;
    return this.child.exitCode;
  }
}
