/**
 * Histograms of output lengths with logarithmic buckets, kept side by side in one array.
 *
 * One array for all histograms costs a few hundred bytes for each; separate objects cost twice
 * that at 11,000 customers. The least recently used histogram gives its place to a new one.
 */
import { LENGTH_OPTIONS } from './options';

const { bucketsPerDoubling, doublings, halvingWeight } = LENGTH_OPTIONS;

export const BUCKET_COUNT = bucketsPerDoubling * doublings + 1;

const FIRST_CAPACITY = 16;

/** Largest length that falls into the bucket. */
export const BUCKET_UPPER_BOUNDS: ReadonlyArray<number> = Array.from(
  { length: BUCKET_COUNT },
  (_, index) => Math.floor(2 ** (index / bucketsPerDoubling)),
);

/** The bucket whose upper edge is the first that isn't below the length. */
export function findBucket(tokens: number): number {
  if (tokens <= 1) return 0;
  const guess = Math.min(BUCKET_COUNT - 1, Math.ceil(Math.log2(tokens) * bucketsPerDoubling));
  // Edges are rounded down, so a whole length can lie one bucket above its logarithm.
  return guess < BUCKET_COUNT - 1 && (BUCKET_UPPER_BOUNDS[guess] ?? 0) < tokens ? guess + 1 : guess;
}

/** Weights of one histogram, by bucket. @internal */
export type HistogramWeights = Readonly<ArrayLike<number>>;

/** @internal */
export class HistogramPool {
  private weights = new Float32Array(FIRST_CAPACITY * BUCKET_COUNT);

  /** Place of each histogram; the order of insertion is the order of use. */
  private readonly places = new Map<string, number>();

  constructor(private readonly maxHistograms: number) {}

  get size(): number {
    return this.places.size;
  }

  find(key: string): HistogramWeights | undefined {
    const place = this.places.get(key);
    if (place === undefined) return undefined;
    return this.weights.subarray(place * BUCKET_COUNT, (place + 1) * BUCKET_COUNT);
  }

  add(key: string, tokens: number): void {
    const start = this.touch(key) * BUCKET_COUNT;
    const histogram = this.weights.subarray(start, start + BUCKET_COUNT);
    const bucket = findBucket(tokens);
    histogram[bucket] = (histogram[bucket] ?? 0) + 1;
    const total = histogram.reduce((sum, weight) => sum + weight, 0);
    if (total < halvingWeight) return;
    histogram.forEach((weight, index) => {
      histogram[index] = weight / 2;
    });
  }

  private touch(key: string): number {
    const place = this.places.get(key) ?? this.takePlace();
    this.places.delete(key);
    this.places.set(key, place);
    return place;
  }

  private takePlace(): number {
    const [oldest] = this.places;
    if (oldest && this.places.size >= this.maxHistograms) {
      const [key, place] = oldest;
      this.places.delete(key);
      this.weights.fill(0, place * BUCKET_COUNT, (place + 1) * BUCKET_COUNT);
      return place;
    }
    this.ensureCapacity(this.places.size + 1);
    return this.places.size;
  }

  private ensureCapacity(histograms: number): void {
    const capacity = this.weights.length / BUCKET_COUNT;
    if (histograms <= capacity) return;
    const grown = new Float32Array(Math.min(this.maxHistograms, capacity * 2) * BUCKET_COUNT);
    grown.set(this.weights);
    this.weights = grown;
  }
}
