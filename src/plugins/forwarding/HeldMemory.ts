/**
 * Memory that callers make a node hold: heads, buffered bodies and answers that they haven't read.
 *
 * Reclaimable memory counts against the same limit, but keeps nothing else out.
 */
import { ReclaimableMemory, type ReclaimablePart } from './ReclaimableMemory';

/** Part of the memory of a node that one request or connection holds. @internal */
export abstract class HeldPart {
  /** Returns false, and changes nothing, when there is no room. */
  abstract grow(bytes: number): boolean;

  /** As `grow`, for bytes that have arrived already: they count, also beyond the limit. */
  abstract growAlways(bytes: number): void;

  /** Creates reclaimable memory that is released with this part, if not before. */
  abstract createReclaimable(onReclaimed: () => void): ReclaimablePart;

  abstract release(): void;
}

class Part extends HeldPart {
  private isReleased = false;

  private bytes = 0;

  private reclaimable: ReadonlyArray<ReclaimablePart> = [];

  constructor(
    private readonly add: (change: number, partBytes: number) => boolean,
    private readonly addAlways: (change: number) => void,
    private readonly addReclaimable: (onReclaimed: () => void) => ReclaimablePart,
  ) {
    super();
  }

  grow(bytes: number): boolean {
    if (this.isReleased) return true;
    if (!this.add(bytes, this.bytes + bytes)) return false;
    this.bytes += bytes;
    return true;
  }

  growAlways(bytes: number): void {
    if (this.isReleased) return;
    this.addAlways(bytes);
    this.bytes += bytes;
  }

  createReclaimable(onReclaimed: () => void): ReclaimablePart {
    const part = this.addReclaimable(onReclaimed);
    this.reclaimable = [...this.reclaimable, part];
    if (this.isReleased) part.release();
    return part;
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.addAlways(-this.bytes);
    this.reclaimable.forEach((part) => part.release());
  }
}

/** @internal */
export class HeldMemory {
  private heldBytes = 0;

  private readonly reclaimable = new ReclaimableMemory();

  /**
   * @param ordinaryBytes room that only requests of ordinary size may take.
   * @param ordinaryPartBytes size up to which such a request may take it, with its body.
   */
  constructor(
    readonly maxBytes: number,
    private readonly ordinaryBytes: number,
    private readonly ordinaryPartBytes: number,
  ) {}

  /** Without what can be reclaimed. */
  get bytes(): number {
    return this.heldBytes;
  }

  get reclaimableBytes(): number {
    return this.reclaimable.bytes;
  }

  /** Returns undefined when there is no room. */
  reserve(bytes: number): HeldPart | undefined {
    return this.reserveUpTo(bytes, 0);
  }

  /**
   * As `reserve`, for a request of ordinary size. It has the whole room until it exceeds
   * `ordinaryPartBytes`.
   */
  reserveOrdinary(bytes: number): HeldPart | undefined {
    return this.reserveUpTo(bytes, this.ordinaryPartBytes);
  }

  /** For bytes that have arrived already: they count, also beyond the limit. */
  reserveAlways(bytes: number): HeldPart {
    const part = this.createPart(0);
    part.growAlways(bytes);
    return part;
  }

  private reserveUpTo(bytes: number, ordinaryPartBytes: number): HeldPart | undefined {
    const part = this.createPart(ordinaryPartBytes);
    return part.grow(bytes) ? part : undefined;
  }

  private createPart(ordinaryPartBytes: number): HeldPart {
    const { maxBytes, ordinaryBytes } = this;
    return new Part(
      (change, partBytes) => {
        const isOrdinary = partBytes <= ordinaryPartBytes;
        const limit = isOrdinary ? maxBytes : maxBytes - ordinaryBytes;
        return this.add(change, limit);
      },
      (change) => {
        this.heldBytes += change;
        this.reclaimable.reclaimUpTo(this.countMissing(0, maxBytes));
      },
      (onReclaimed) => {
        const hasRoom = (bytes: number): boolean =>
          this.countMissing(bytes, maxBytes - ordinaryBytes) <= 0;
        return this.reclaimable.create(hasRoom, onReclaimed);
      },
    );
  }

  private add(change: number, maxBytes: number): boolean {
    const missingBytes = this.countMissing(change, maxBytes);
    if (missingBytes > 0 && !this.reclaimable.reclaim(missingBytes)) return false;
    this.heldBytes += change;
    return true;
  }

  /** Bytes that a change would exceed a limit by; negative if there is free room. */
  private countMissing(change: number, maxBytes: number): number {
    return this.heldBytes + this.reclaimable.bytes + change - maxBytes;
  }
}
