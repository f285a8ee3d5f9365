/**
 * What the collected log lines of a fleet say about one request.
 *
 * A process that is killed logs no end of its requests. The next start of the same node then says
 * what became of them.
 */
import { decisionSchema } from '../core';
import { describeDecision } from './describeDecision';
import { describeLogLine, type LogLine } from './describeLogLine';

function describeAbout(line: LogLine, requestId: string): string | undefined {
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

  /** Takes the next line; the lines of one node have to come in their order. */
  add(line: LogLine): void {
    if (line.event === 'started') this.starts = [...this.starts, line];
    const described = describeAbout(line, this.requestId);
    if (described === undefined) return;
    this.sentences = [...this.sentences, described];
    this.lastLine = line;
    this.hasEnd ||= line.event === 'request' || line.step === 'finish' || line.step === 'refuse';
  }

  /** Sentences in the order of the lines; none when nothing is known of the request. */
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
