/**
 * Body of a caller's request, as it may be sent.
 *
 * A request may be sent more than once: to another endpoint, or to the engine that continues its run.
 * Its content is reached only through a `SendableBody`, which is always the whole body from its first
 * byte. So an attempt has the body that the caller sent, or it can't be made.
 */
import { ServingError } from '../../core';
import { computeBodyDigest } from '../../decisions';
import { BodyRecord } from './BodyRecord';
import type { ReclaimablePart } from './ReclaimableMemory';
import type { BodyContent } from './SentBody';

/** The whole body, for one attempt. @internal */
export abstract class SendableBody {
  /** Opens the body; called once, unless it is kept. */
  abstract open(): BodyContent;

  /** Called when the outcome of the attempt is known. */
  abstract release(): void;
}

/** The whole body in memory until it is released, for any number of attempts. @internal */
export abstract class KeptBody extends SendableBody {
  /** Keeps the body once more, to be released separately. */
  abstract share(): KeptBody;
}

/** @internal */
export abstract class CallerBody {
  /** Bytes that were read before the first attempt. */
  abstract readonly bufferedBytes: number;

  /** Digest of the first bytes, by which a request is recognised when it comes again. */
  abstract readonly digest: string;

  /** Whether the rest of the body may still arrive and be kept. */
  abstract get isArriving(): boolean;

  /** Whether the whole body has arrived and is in memory, so that it can be sent again. */
  abstract get isKept(): boolean;

  /** Why the body can't be sent again, for the log. */
  get missingReason(): string {
    return this.isArriving ? 'body still arriving' : 'body not kept';
  }

  /** Returns the body for the next attempt; undefined if it can't be sent again. */
  abstract take(): SendableBody | undefined;

  /** Returns undefined if the body isn't kept. */
  abstract keep(): KeptBody | undefined;
}

class BufferedCopy extends KeptBody {
  constructor(private readonly bytes: Uint8Array) {
    super();
  }

  open(): BodyContent {
    return this.bytes.length === 0 ? undefined : this.bytes;
  }

  share(): KeptBody {
    return this;
  }

  /** The bytes are kept until the request ends. */
  release(): void {}
}

/** A body that was read before the first attempt. @internal */
export class BufferedBody extends CallerBody {
  readonly bufferedBytes: number;

  readonly digest: string;

  readonly isArriving = false;

  readonly isKept = true;

  private readonly copy: KeptBody;

  constructor(bytes: Uint8Array) {
    super();
    this.bufferedBytes = bytes.length;
    this.digest = computeBodyDigest(bytes);
    this.copy = new BufferedCopy(bytes);
  }

  take(): SendableBody {
    return this.copy;
  }

  keep(): KeptBody {
    return this.copy;
  }
}

class RecordedCopy extends KeptBody {
  private isReleased = false;

  constructor(private readonly record: BodyRecord) {
    super();
    record.pin();
  }

  open(): BodyContent {
    return this.record.read();
  }

  share(): KeptBody {
    return new RecordedCopy(this.record);
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.record.unpin();
  }
}

/** The first attempt, which reads the body from the caller's connection. */
class FirstSend extends SendableBody {
  constructor(
    private readonly read: () => AsyncIterable<Uint8Array>,
    private readonly onReleased: () => void,
  ) {
    super();
  }

  open(): BodyContent {
    return this.read();
  }

  release(): void {
    this.onReleased();
  }
}

/**
 * A body that is passed on while it arrives, and recorded for further attempts while there is memory
 * for it. Without the record, it can be sent only once. @internal
 */
export class StreamedBody extends CallerBody {
  readonly bufferedBytes: number;

  readonly digest: string;

  private record: BodyRecord | undefined;

  /** Undefined once the first attempt has begun to read. */
  private first: Uint8Array | undefined;

  private isTaken = false;

  private isComplete = false;

  /**
   * @param first what was read already.
   * @param rest what arrives after it; read once.
   * @param createMemory counts the record against the memory of the node.
   */
  constructor(
    first: Uint8Array,
    private readonly rest: AsyncIterable<Uint8Array>,
    createMemory: (onReclaimed: () => void) => ReclaimablePart | undefined,
  ) {
    super();
    this.first = first;
    this.bufferedBytes = first.length;
    this.digest = computeBodyDigest(first);
    this.record = new BodyRecord(createMemory(() => this.dropRecord()));
  }

  get isArriving(): boolean {
    return this.record !== undefined && !this.isComplete;
  }

  get isKept(): boolean {
    return this.record !== undefined && this.isComplete;
  }

  take(): SendableBody | undefined {
    if (this.isComplete) return this.keep();
    if (this.isTaken || !this.first) return undefined;
    this.isTaken = true;
    return new FirstSend(
      () => this.readOnce(),
      () => {
        this.isTaken = false;
      },
    );
  }

  keep(): KeptBody | undefined {
    return this.record && this.isComplete ? new RecordedCopy(this.record) : undefined;
  }

  private async *readOnce(): AsyncGenerator<Uint8Array> {
    const { first } = this;
    if (!first) throw new ServingError('internal', { detail: 'The body was read already.' });
    this.first = undefined;
    try {
      this.append(first);
      yield first;
      for await (const chunk of this.rest) {
        this.append(chunk);
        yield chunk;
      }
      this.isComplete = true;
    } finally {
      // What the attempt has not read is lost.
      if (!this.isComplete) this.dropRecord();
    }
  }

  private append(chunk: Uint8Array): void {
    if (this.record && !this.record.append(chunk)) this.dropRecord();
  }

  private dropRecord(): void {
    this.record?.release();
    this.record = undefined;
  }
}
