/**
 * Explains one request in sentences, from the collected log lines of a fleet.
 *
 * A killed process logs no end of its requests; a later start of the same node then shows that they
 * were lost.
 */
import { decisionSchema } from '../core';
import { describeDecision } from './describeDecision';
import { describeLogLine, type LogLine } from './describeLogLine';

function describeRequestLine(line: LogLine, requestId: string): string | undefined {
  const decision = decisionSchema.safeParse(line);
  if (decision.success && decision.data.requestId === requestId) {
    return describeDecision(decision.data);
  }
  return describeLogLine(line, requestId);
}

/** @public */
export class LogExplanation {
  private sentences: ReadonlyArray<string> = [];

  private lastLine: LogLine | undefined;

  private hasEnd = false;

  private starts: ReadonlyArray<LogLine> = [];

  constructor(private readonly requestId: string) {}

  /** Adds a line; the lines of each node must be added in order. */
  add(line: LogLine): void {
    if (line.event === 'started') this.starts = [...this.starts, line];
    const sentence = describeRequestLine(line, this.requestId);
    if (sentence === undefined) return;
    this.sentences = [...this.sentences, sentence];
    this.lastLine = line;
    this.hasEnd ||= line.event === 'request' || line.step === 'finish' || line.step === 'refuse';
  }

  /** Sentences in the order of the lines; empty if no line is about the request. */
  getSentences(): ReadonlyArray<string> {
    if (!this.lastLine || this.hasEnd) return this.sentences;
    return [...this.sentences, this.describeMissingEnd(this.lastLine)];
  }

  private describeMissingEnd({ vmId, time }: LogLine): string {
    const node = String(vmId);
    const nextStart = this.starts.find(
      (line) => line.vmId === vmId && String(line.time) > String(time),
    );
    if (nextStart) {
      return `${String(nextStart.time)} ${node}: Started anew without having logged an end of the request, which was lost with the process before.`;
    }
    return `No end is logged: the request still runs at ${node}, or the node or its log was lost.`;
  }
}
