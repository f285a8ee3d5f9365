/**
 * Answers nodes that don't read from the source with the configuration and endpoints known here.
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

/** Equal on two nodes that know the same states of the same endpoints. @internal */
export function digestEndpoints(store: DeploymentStore): number {
  const states = store
    .listAll()
    // Nodes drop endpoints that have left at different times.
    .filter((backEnd) => !isLeaving(backEnd))
    .map(({ endpointId }) => {
      const { era, revision } = store.getPosition(endpointId);
      return `${endpointId} ${era} ${revision}`;
    });
  return hashText(states.sort().join('\n'));
}

/** @internal */
export class RelayHandler extends PeerHandler<typeof relayRequestSchema> {
  readonly type = RELAY_MESSAGE_TYPE;

  readonly schema = relayRequestSchema;

  constructor(private readonly store: DeploymentStore) {
    super();
  }

  async handle(_from: Peer, request: RelayRequest): Promise<RelayReply> {
    const { store } = this;
    store.hearOfEra(request.newestEra);
    if (!this.hasNews(request)) await store.waitForChange(request.waitMs);
    const { completeTo, newestEra, departures } = store;
    const { eraStart } = departures;
    const confirmedAgeMs = store.getSourceAgeMs();
    const configurationAgeMs = store.getConfirmedAgeMs();
    const { maxRelayAgeMs } = computeFreshnessThresholds(store.bounds.revocationWithinMs);
    if (confirmedAgeMs > maxRelayAgeMs) return { completeTo, newestEra, eraStart };
    const isNewer = this.hasNewerConfiguration(request);
    return {
      confirmedAgeMs,
      configurationAgeMs: Number.isFinite(configurationAgeMs) ? configurationAgeMs : undefined,
      completeTo,
      newestEra,
      eraStart,
      configuration: isNewer ? store.configurationValue : undefined,
      evacuations: store.evacuations.mayLackEvacuations ? undefined : store.evacuations.list(),
      endpoints:
        digestEndpoints(store) === request.endpointsDigest
          ? undefined
          : store.listAll().map((backEnd) => ({
              endpointId: backEnd.endpointId,
              position: store.getPosition(backEnd.endpointId),
              startedAtWallMs: backEnd.startedAtWallMs,
              value: isLeaving(backEnd) ? undefined : store.getValue(backEnd.endpointId),
            })),
    };
  }

  private hasNews(request: RelayRequest): boolean {
    const hasOtherEndpoints = digestEndpoints(this.store) !== request.endpointsDigest;
    return (
      hasOtherEndpoints || this.hasNewerConfiguration(request) || this.hasOtherEvacuations(request)
    );
  }

  private hasOtherEvacuations({ evacuationsDigest }: RelayRequest): boolean {
    const { evacuations } = this.store;
    if (evacuations.mayLackEvacuations || evacuationsDigest === undefined) return false;
    return evacuationsDigest !== evacuations.digest;
  }

  private hasNewerConfiguration({ configurationVersion }: RelayRequest): boolean {
    return (this.store.configuration?.version ?? 0) > configurationVersion;
  }
}
