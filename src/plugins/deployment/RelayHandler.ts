/**
 * Tells a node that can't reach the source what this one has learnt.
 */
import { computeFreshnessThresholds, hashText } from '../../decisions';
import { PeerHandler, type KnownBackEnd, type Peer } from '../../services';
import type { DeploymentStore } from './DeploymentStore';
import { relayRequestSchema, type RelayReply, type RelayRequest } from './relayMessages';

/** @internal */
export const RELAY_MESSAGE_TYPE = 'deployment.read';

function isLeaving({ leavingSinceMs }: KnownBackEnd): boolean {
  return leavingSinceMs !== undefined;
}

/** Equal on two nodes that know the same endpoints in the same states. @internal */
export function digestEndpoints(book: DeploymentStore): number {
  const states = book
    .listAll()
    .map((backEnd) => `${backEnd.endpointId} ${book.getRevision(backEnd.endpointId)}`);
  return hashText(states.sort().join('\n'));
}

/** @internal */
export class RelayHandler extends PeerHandler<typeof relayRequestSchema> {
  readonly type = RELAY_MESSAGE_TYPE;

  readonly schema = relayRequestSchema;

  constructor(private readonly book: DeploymentStore) {
    super();
  }

  async handle(_from: Peer, request: RelayRequest): Promise<RelayReply> {
    const { book } = this;
    const { completeToRevision } = book;
    const confirmedAgeMs = book.getConfirmedAgeMs();
    const { maxRelayAgeMs } = computeFreshnessThresholds(book.bounds.revocationWithinMs);
    if (confirmedAgeMs > maxRelayAgeMs) return { completeToRevision };
    const isNewer = (book.configuration?.version ?? 0) > request.configurationVersion;
    return {
      confirmedAgeMs,
      completeToRevision,
      configuration: isNewer ? book.configurationValue : undefined,
      endpoints:
        digestEndpoints(book) === request.endpointsDigest
          ? undefined
          : book.listAll().map((backEnd) => ({
              endpointId: backEnd.endpointId,
              revision: book.getRevision(backEnd.endpointId),
              value: isLeaving(backEnd) ? undefined : book.getValue(backEnd.endpointId),
            })),
    };
  }
}
