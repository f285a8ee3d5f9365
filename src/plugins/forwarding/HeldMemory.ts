/**
 * Memory that callers make a node hold: heads, buffered bodies and answers that they haven't read.
 *
 * Some of it the node can do without, such as a body that is kept to be sent again. It counts against
 * the same limit, but never keeps anything else out: it is reclaimed when there is no other room.
 */

/** Part of the memory of a node that one request or connection holds. @internal */
export abstract class HeldPart {
  /** Returns false, and changes nothing, when there is no room. */
  abstract grow(bytes: number): boolean;

  /** As `grow`, for bytes that have arrived already: they count, also beyond the limit. */
  abstract growAlways(bytes: number): void;

  /**
   * Creates a part that is released with this one, or reclaimed before.
   * @param onReclaimed frees the memory.
   */
  abstract createReclaimable(onReclaimed: () => void): ReclaimablePart;

  abstract release(): void;
}

/** Memory that is reclaimed when something else needs the room. @internal */
export abstract class ReclaimablePart {
  /** Returns false, and changes nothing, when there is no free room. */
  abstract grow(bytes: number): boolean;

  /** Keeps the part from being reclaimed until `unpin` was called as often. */
  abstract pin(): void;

  abstract unpin(): void;

  abstract release(): void;
}

class SparePart extends ReclaimablePart {
  private pins = 0;

  private size = 0;

  private isReleased = false;

  constructor(
    private readonly add: (change: number) => boolean,
    private readonly remove: (part: SparePart) => void,
    private readonly onReclaimed: () => void,
  ) {
    super();
  }

  get bytes(): number {
    return this.size;
  }

  get isPinned(): boolean {
    return this.pins > 0;
  }

  grow(bytes: number): boolean {
    if (this.isReleased || !this.add(bytes)) return false;
    this.size += bytes;
    return true;
  }

  pin(): void {
    this.pins += 1;
  }

  unpin(): void {
    this.pins -= 1;
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.remove(this);
  }

  reclaim(): void {
    this.release();
    this.onReclaimed();
  }
}

class Part extends HeldPart {
  private isReleased = false;

  private bytes = 0;

  private spare: ReadonlyArray<ReclaimablePart> = [];

  constructor(
    private readonly add: (change: number, partBytes: number) => boolean,
    private readonly addAlways: (change: number) => void,
    private readonly createSpare: (onReclaimed: () => void) => ReclaimablePart,
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
    const part = this.createSpare(onReclaimed);
    this.spare = [...this.spare, part];
    if (this.isReleased) part.release();
    return part;
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.addAlways(-this.bytes);
    this.spare.forEach((part) => part.release());
  }
}

/** @internal */
export class HeldMemory {
  /** Without what can be reclaimed. */
  private heldBytes = 0;

  private spareBytes = 0;

  private readonly spareParts = new Set<SparePart>();

  /**
   * @param ordinaryBytes room that only requests of ordinary size may take.
   * @param ordinaryPartBytes size up to which such a request may take it, with its body.
   */
  constructor(
    readonly maxBytes: number,
    private readonly ordinaryBytes: number,
    private readonly ordinaryPartBytes: number,
  ) {}

  /** What callers make the node hold, without what can be reclaimed. */
  get bytes(): number {
    return this.heldBytes;
  }

  get reclaimableBytes(): number {
    return this.spareBytes;
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
        this.reclaim(this.heldBytes + this.spareBytes - maxBytes);
      },
      (onReclaimed) => this.createSpare(onReclaimed),
    );
  }

  private createSpare(onReclaimed: () => void): ReclaimablePart {
    const part = new SparePart(
      (change) => this.addSpare(change),
      (released) => {
        this.spareParts.delete(released);
        this.spareBytes -= released.bytes;
      },
      onReclaimed,
    );
    this.spareParts.add(part);
    return part;
  }

  private add(change: number, maxBytes: number): boolean {
    const missingBytes = this.heldBytes + this.spareBytes + change - maxBytes;
    if (missingBytes > 0) {
      if (missingBytes > this.countUnpinned()) return false;
      this.reclaim(missingBytes);
    }
    this.heldBytes += change;
    return true;
  }

  private addSpare(change: number): boolean {
    const freeBytes = this.maxBytes - this.ordinaryBytes - this.heldBytes - this.spareBytes;
    if (change > freeBytes) return false;
    this.spareBytes += change;
    return true;
  }

  private listUnpinned(): ReadonlyArray<SparePart> {
    return [...this.spareParts].filter(({ isPinned }) => !isPinned);
  }

  private countUnpinned(): number {
    return this.listUnpinned().reduce((sum, { bytes }) => sum + bytes, 0);
  }

  /** Reclaims the largest parts, so that as few requests as possible lose theirs. */
  private reclaim(bytes: number): void {
    if (bytes <= 0) return;
    let missingBytes = bytes;
    const parts = [...this.listUnpinned()].sort((a, b) => b.bytes - a.bytes);
    parts.forEach((part) => {
      if (missingBytes <= 0) return;
      missingBytes -= part.bytes;
      part.reclaim();
    });
  }
}
