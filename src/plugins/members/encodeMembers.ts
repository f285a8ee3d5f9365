/**
 * Conversions between member states and their messages.
 */
import type { MemberIdentity } from '../../services';
import { hashText, type EndpointLoad, type LoadSums } from '../../decisions';
import type { IdentityMessage, LoadMessage, LoadSumMessage } from './memberMessages';

/** @internal */
export function encodeIdentity(identity: MemberIdentity): IdentityMessage {
  return [
    identity.vmId,
    identity.incarnation,
    identity.dataCentre,
    identity.region,
    identity.peerAddress,
    identity.callerAddress,
    identity.takesCallers,
  ];
}

/** @internal */
export function decodeIdentity(message: IdentityMessage): MemberIdentity {
  const [vmId, incarnation, dataCentre, region, peerAddress, callerAddress, takesCallers] = message;
  return { vmId, incarnation, dataCentre, region, peerAddress, callerAddress, takesCallers };
}

/** Equal for two identities only if all their fields are equal. @internal */
export function hashIdentity(identity: MemberIdentity): number {
  return hashText(encodeIdentity(identity).join('\n'));
}

/** @internal */
export function hashMembers(members: ReadonlyArray<number>): number {
  return hashText([...members].sort((a, b) => a - b).join(' '));
}

/** @internal */
export function encodeLoads(loads: ReadonlyArray<EndpointLoad>): ReadonlyArray<LoadMessage> {
  return loads.map(({ endpointId, requests, heldTokens, paceMs, ...load }) => [
    endpointId,
    requests,
    heldTokens,
    Math.round(load.finalTokens),
    load.pendingPrefillTokens,
    paceMs === undefined ? undefined : Math.round(paceMs),
  ]);
}

/** @internal */
export function decodeLoads(messages: ReadonlyArray<LoadMessage>): ReadonlyArray<EndpointLoad> {
  return messages.map(
    ([endpointId, requests, heldTokens, finalTokens, pendingPrefillTokens, paceMs]) => ({
      endpointId,
      requests,
      heldTokens,
      finalTokens,
      pendingPrefillTokens,
      paceMs,
    }),
  );
}

/** @internal */
export function encodeLoadSums(sums: LoadSums): ReadonlyArray<LoadSumMessage> {
  return [...sums].map(([endpointId, sum]) => [
    endpointId,
    sum.requests,
    sum.heldTokens,
    Math.round(sum.finalTokens),
    sum.pendingPrefillTokens,
    Math.round(sum.paceSumMs),
    sum.paceCount,
  ]);
}

/** @internal */
export function decodeLoadSums(messages: ReadonlyArray<LoadSumMessage>): LoadSums {
  return new Map(
    messages.map(
      ([
        endpointId,
        requests,
        heldTokens,
        finalTokens,
        pendingPrefillTokens,
        paceSumMs,
        paceCount,
      ]) => [
        endpointId,
        { requests, heldTokens, finalTokens, pendingPrefillTokens, paceSumMs, paceCount },
      ],
    ),
  );
}
