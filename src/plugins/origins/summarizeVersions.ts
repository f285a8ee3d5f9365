/**
 * The software versions of one service in changes of the list.
 */
import type { PastVersions } from '../../decisions';
import type { Deployment, ListedLately } from '../../services';

/** @internal */
export function summarizeVersions(
  { backEnds, unknownRemovals }: ListedLately,
  service: string,
  deployment: Deployment,
): PastVersions {
  return {
    versions: backEnds
      .filter((backEnd) => backEnd.service === service)
      .map(({ softwareVersion = '' }) => softwareVersion),
    hasUnknownRemovals: unknownRemovals.some((id) => !deployment.find(id)),
  };
}
