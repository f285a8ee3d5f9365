/**
 * Reads the memory and descriptor limits of this process.
 */
import { readFileSync } from 'node:fs';
import { getHeapStatistics } from 'node:v8';
import type { ProcessResources } from '../decisions';

/** Limit of most systems, where the system doesn't tell. */
const DEFAULT_DESCRIPTORS = 1_024;

function readDescriptorLimit(): number {
  try {
    const limits = readFileSync('/proc/self/limits', 'utf8');
    return Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1] ?? DEFAULT_DESCRIPTORS);
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}

/**
 * @param statedDescriptors number that the operator states. It goes before the limit of the process,
 *   which counts only files where the platform bounds the sockets of a VM by itself.
 */
export function readProcessResources(statedDescriptors?: number): ProcessResources {
  return {
    heapLimitBytes: getHeapStatistics().heap_size_limit,
    descriptors: statedDescriptors ?? readDescriptorLimit(),
  };
}
