/**
 * Rules by which the owner and the witnesses of an operation decide what to answer about it.
 *
 * The answer `not-run` is safe because of three rules: only the owner's process dispatches, it
 * dispatches only after every witness of the ticket has granted it, and a witness that has closed a
 * reservation never grants it. A process that doesn't hold a ticket makes no statement about it.
 * The methods are pure; tests override single ones to show that each rule is needed.
 */
import type { StoredOutcome } from './operationOutcome';
import type { NodeProcess, OperationTicket, WitnessReservation } from './operationTicket';

/** @public */
export type OwnerState =
  | { readonly state: 'open' }
  | { readonly state: 'running'; readonly fingerprint: string }
  | {
      readonly state: 'ended';
      /** Undefined when the ticket was closed before any call used it. */
      readonly fingerprint: string | undefined;
      readonly outcome: StoredOutcome;
    };

/** @public */
export interface OwnerView {
  readonly self: NodeProcess;
  readonly ticket: OperationTicket;
  /** The process's entry for the ticket, if any. */
  readonly entry: { readonly deadlineMs: number; readonly current: OwnerState } | undefined;
  readonly fingerprint: string;
  readonly nowMs: number;
}

/** @public */
export type OwnerVerdict =
  | { readonly verdict: 'start'; readonly deadlineMs: number }
  | { readonly verdict: 'join' }
  | { readonly verdict: 'repeat'; readonly outcome: StoredOutcome }
  | { readonly verdict: 'expire'; readonly reason: string }
  | { readonly verdict: 'reused'; readonly reason: string }
  | { readonly verdict: 'elsewhere'; readonly reason: string };

/** @public */
export interface DispatchView {
  readonly nowMs: number;
  readonly ticketDeadlineMs: number;
  /** Deadline of the received call. */
  readonly callDeadlineMs: number;
}

/** Which of the two deadlines has passed. @public */
export type ExpiredDeadline = 'ticket' | 'call';

/** @public */
export type WitnessState =
  | { readonly state: 'open' }
  | { readonly state: 'granted'; readonly fingerprint: string }
  | { readonly state: 'closed' }
  | {
      readonly state: 'ended';
      readonly fingerprint: string | undefined;
      readonly outcome: StoredOutcome;
    };

/** @public */
export interface WitnessView {
  readonly self: NodeProcess;
  readonly reservation: WitnessReservation;
  /** The witness's entry for the reservation, if any. */
  readonly entry: { readonly owner: NodeProcess; readonly current: WitnessState } | undefined;
  /** Process that sent the message. */
  readonly from: NodeProcess;
}

/** `next` is the state that the witness must store before it replies. @public */
export interface GrantVerdict {
  readonly granted: boolean;
  readonly reason: string;
  readonly next?: WitnessState;
}

/** @public */
export type CloseVerdict =
  | { readonly verdict: 'closed'; readonly reason: string; readonly next?: WitnessState }
  | { readonly verdict: 'ended'; readonly outcome: StoredOutcome }
  | { readonly verdict: 'reused'; readonly reason: string }
  | { readonly verdict: 'unknown'; readonly reason: string };

const OPEN = { state: 'open' } as const;

const REUSED = {
  verdict: 'reused',
  reason: 'The key was used with another body, path or kind of work.',
} as const;

/** @public */
export class OperationRules {
  /** A restarted node has a new incarnation and counts as another process. */
  isSameProcess(one: NodeProcess, other: NodeProcess): boolean {
    return one.vmId === other.vmId && one.incarnation === other.incarnation;
  }

  /** Whether this process is the one named and still holds the entry, so that its answer counts. */
  isAuthoritative(named: NodeProcess, self: NodeProcess, isHeld: boolean): boolean {
    return isHeld && this.isSameProcess(named, self);
  }

  /** Witnesses whose grants are required before the operation is dispatched. */
  listRequiredWitnesses(ticket: OperationTicket): ReadonlyArray<WitnessReservation> {
    return ticket.witnesses;
  }

  /** Decides what the owner does with a call. */
  decideCall({ self, ticket, entry, fingerprint, nowMs }: OwnerView): OwnerVerdict {
    if (!this.isAuthoritative(ticket.owner, self, entry !== undefined)) {
      return { verdict: 'elsewhere', reason: 'This process does not hold the ticket.' };
    }
    const current = entry?.current ?? OPEN;
    if (current.state === 'open') {
      const deadlineMs = entry?.deadlineMs ?? Infinity;
      return nowMs < deadlineMs
        ? { verdict: 'start', deadlineMs }
        : { verdict: 'expire', reason: 'The key expired before the call arrived.' };
    }
    if (current.fingerprint !== undefined && current.fingerprint !== fingerprint) return REUSED;
    return current.state === 'running'
      ? { verdict: 'join' }
      : { verdict: 'repeat', outcome: current.outcome };
  }

  /**
   * Returns the deadline that has expired, checked after the grants and before the dispatch;
   * undefined if the operation may be dispatched. The grants may have taken long, or the process
   * may have been paused. Times are read from the owner's own clock.
   */
  findExpiredDeadline({
    nowMs,
    ticketDeadlineMs,
    callDeadlineMs,
  }: DispatchView): ExpiredDeadline | undefined {
    if (nowMs >= ticketDeadlineMs) return 'ticket';
    return nowMs >= callDeadlineMs ? 'call' : undefined;
  }

  /** Decides a witness's reply to an owner that asks for a grant. */
  decideGrant(view: WitnessView, fingerprint: string): GrantVerdict {
    const { self, reservation, entry, from } = view;
    if (!this.isAuthoritative(reservation, self, entry !== undefined)) {
      return { granted: false, reason: 'The witness does not hold the reservation.' };
    }
    if (entry && !this.isSameProcess(entry.owner, from)) {
      return { granted: false, reason: 'Only the owner of the ticket may dispatch it.' };
    }
    const current = entry?.current ?? OPEN;
    if (current.state === 'open') {
      return {
        granted: true,
        reason: 'The ticket was open.',
        next: { state: 'granted', fingerprint },
      };
    }
    // The same message was delivered twice; the owner dispatches once however many replies it gets.
    if (current.state === 'granted' && current.fingerprint === fingerprint) {
      return { granted: true, reason: 'The ticket was granted before.' };
    }
    return { granted: false, reason: 'The ticket was closed at the witness.' };
  }

  /** Decides a witness's reply to a node that can't reach the owner. */
  decideClose({ self, reservation, entry }: WitnessView, fingerprint: string): CloseVerdict {
    if (!this.isAuthoritative(reservation, self, entry !== undefined)) {
      return { verdict: 'unknown', reason: 'The witness does not hold the reservation.' };
    }
    const current = entry?.current ?? OPEN;
    if (current.state === 'open' || current.state === 'closed') {
      return {
        verdict: 'closed',
        reason: 'It was closed at the witness because its owner could not be reached.',
        next: { state: 'closed' },
      };
    }
    if (current.fingerprint !== undefined && current.fingerprint !== fingerprint) return REUSED;
    return current.state === 'ended'
      ? { verdict: 'ended', outcome: current.outcome }
      : { verdict: 'unknown', reason: 'Its owner may have dispatched it and cannot be reached.' };
  }

  /** Whether a witness stores an outcome that an owner reports. Stored outcomes are immutable. */
  mayStoreOutcome({ self, reservation, entry, from }: WitnessView): boolean {
    return (
      entry !== undefined &&
      this.isAuthoritative(reservation, self, true) &&
      this.isSameProcess(entry.owner, from) &&
      (entry.current.state === 'open' || entry.current.state === 'granted')
    );
  }

  /**
   * Merges the replies of all witnesses. One outcome or one closed reservation is conclusive,
   * because the owner needs every grant.
   */
  mergeCloseVerdicts(verdicts: ReadonlyArray<CloseVerdict>): CloseVerdict {
    const order = ['ended', 'reused', 'closed', 'unknown'] as const;
    const best = order
      .map((wanted) => verdicts.find(({ verdict }) => verdict === wanted))
      .find((found) => found !== undefined);
    return best ?? { verdict: 'unknown', reason: 'The ticket has no witness.' };
  }
}
