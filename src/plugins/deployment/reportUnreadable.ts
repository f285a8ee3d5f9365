/**
 * Logs and counts what of a configuration can't be read.
 */
import type { ServingConfiguration, UnreadableEntry } from '../../core';
import type { Kernel } from '../../kernel';
import { ServingMetrics } from '../../services';
import { DEPLOYMENT_OPTIONS } from './options';

/** Reports the entries of a version that is applied without them. */
export function reportUnreadableEntries(
  kernel: Kernel,
  { version, unreadable }: ServingConfiguration,
): void {
  unreadable.entries
    .slice(0, DEPLOYMENT_OPTIONS.maxReportedEntries)
    .forEach(({ path, reason }) =>
      kernel.log.warn('configuration entry ignored', { version, path, reason }),
    );
  const counts = new Map<UnreadableEntry['part'], number>();
  unreadable.entries.forEach(({ part }) => counts.set(part, (counts.get(part) ?? 0) + 1));
  counts.forEach((count, part) => kernel.get(ServingMetrics).countUnreadable(part, count));
}
