/**
 * Describes decisions and contracts in sentences for people without a technical background.
 */
import { match } from 'ts-pattern';
import type { Contract, Decision, KindOfWork } from '../core';

const MS_PER_SECOND = 1_000;

function describeStep({ step, chosen }: Decision): string {
  return match(step)
    .with('admit', () => 'The request was admitted')
    .with('wait', () => 'The request waited')
    .with('route', () => `The request was sent to ${chosen ?? 'an endpoint'}`)
    .with('retry', () => 'The request was tried again')
    .with('slow', () => 'The answer slowed down')
    .with('refuse', () => 'The request was refused')
    .with('place', () => `An order was sent to ${chosen ?? 'an engine'}`)
    .with('finish', () => 'The request ended')
    .exhaustive();
}

function describeMeasured(measured: Decision['measured']): string {
  const figures = Object.entries(measured ?? {}).map(([name, value]) => `${name} ${value}`);
  return figures.length === 0 ? '' : ` Measured: ${figures.join(', ')}.`;
}

function describeClause({ clause, contractRevision }: Decision): string {
  if (!clause) return '';
  const revision = contractRevision === undefined ? '' : `, contract revision ${contractRevision}`;
  return ` This follows from the contract clause ${clause}${revision}.`;
}

function describePassedOver({ passedOver = [] }: Decision): string {
  if (passedOver.length === 0) return '';
  const parts = passedOver.map(({ candidate, reason }) => `${candidate} (${reason})`);
  return ` Not chosen: ${parts.join(', ')}.`;
}

/** Describes a decision in one or more sentences. */
export function describeDecision(decision: Decision): string {
  const time = new Date(decision.wallMs).toISOString();
  const reason = decision.reason.replace(/\.$/, '');
  const details = [
    describeClause(decision),
    describeMeasured(decision.measured),
    describePassedOver(decision),
  ];
  return `${time} ${describeStep(decision)}: ${reason}.${details.join('')}`;
}

function formatSeconds(ms: number): string {
  return `${ms / MS_PER_SECOND} s`;
}

function describeKind(kind: KindOfWork): string {
  if (kind.type === 'call') {
    const repetition = kind.repeatable
      ? `It may be repeated, and is tried up to ${kind.attempts} times.`
      : 'It runs at most once; a repeat gets the first answer.';
    return `calls the service ${kind.service}, which has ${formatSeconds(kind.answerWithinMs)} to answer. ${repetition}`;
  }
  const delivery =
    kind.delivery === 'streamed'
      ? 'Words reach the caller as they are made, all from one run of the model.'
      : `The answer is handed over whole; up to ${kind.attempts} runs of the model are started for it.`;
  const leaving =
    kind.whenCallerLeaves === 'finish'
      ? 'It is finished even if the caller goes away.'
      : 'It is cancelled if the caller goes away.';
  return (
    `runs the model ${kind.model} for at most ${kind.maxOutputTokens} tokens and waits up to ` +
    `${formatSeconds(kind.maxWaitMs)} for an engine before it is refused. ${delivery} ${leaving}`
  );
}

/** Describes a contract clause by clause, kinds of work in order of rank. */
export function describeContract(contract: Contract): ReadonlyArray<string> {
  const { customer, homeRegion, limits, kindsOfWork } = contract;
  const kinds = kindsOfWork
    .map((kind, index) => ({ kind, path: `kindsOfWork[${index}]` }))
    .sort((a, b) => a.kind.rank - b.kind.rank)
    .map(({ kind, path }) => `${path}: ${kind.name}, rank ${kind.rank}, ${describeKind(kind)}`);
  return [
    `customer: ${customer}, served in the region ${homeRegion} as long as it has room.`,
    `limits.concurrentGenerations: at most ${limits.concurrentGenerations} generations at one time.`,
    `limits.requestsPerSecond: at most ${limits.requestsPerSecond} requests a second.`,
    ...kinds,
  ];
}
