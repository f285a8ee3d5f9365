/**
 * Finds out whether anything listens at an endpoint's address, without sending a request.
 */
import { connect } from 'node:net';
import { setImmediate as turnOfEventLoop } from 'node:timers/promises';
import { FORWARDING_OPTIONS } from './options';

/**
 * `refused`: nothing listens there. `unclear`: any other error, such as a reset by an endpoint that
 * has too many connections, or no reply in time. @internal
 */
export type ProbeOutcome = 'accepted' | 'refused' | 'unclear';

/** @param address `ip:port`. @internal */
export async function probeEndpoint(address: string): Promise<ProbeOutcome> {
  const { hostname, port } = new URL(`http://${address}`);
  const socket = connect({ host: hostname, port: Number(port) });
  const outcome = await new Promise<ProbeOutcome>((resolve) => {
    socket.once('connect', () => resolve('accepted'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      resolve(error.code === 'ECONNREFUSED' ? 'refused' : 'unclear'),
    );
    socket.setTimeout(FORWARDING_OPTIONS.probeTimeoutMs, async () => {
      // After a delay of this process, the timer runs before the outcome that the system has is read.
      await turnOfEventLoop();
      await turnOfEventLoop();
      resolve('unclear');
    });
  });
  socket.destroy();
  return outcome;
}
