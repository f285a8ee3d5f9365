/**
 * Finds out whether anything listens at an endpoint's address, without sending a request.
 */
import { connect } from 'node:net';
import { FORWARDING_OPTIONS } from './options';

/** `silent`: neither accepted nor refused in time, as by a machine without power. @internal */
export type ProbeOutcome = 'accepted' | 'refused' | 'silent';

/** @param address `ip:port`. @internal */
export async function probeEndpoint(address: string): Promise<ProbeOutcome> {
  const { hostname, port } = new URL(`http://${address}`);
  const socket = connect({ host: hostname, port: Number(port) });
  const outcome = await new Promise<ProbeOutcome>((resolve) => {
    socket.once('connect', () => resolve('accepted'));
    socket.once('error', () => resolve('refused'));
    socket.setTimeout(FORWARDING_OPTIONS.probeTimeoutMs, () => resolve('silent'));
  });
  socket.destroy();
  return outcome;
}
