/**
 * Binds a listener to an address from the settings.
 */
import type { AddressInfo, Server } from 'node:net';
import { splitAddress } from '../core';

/** Resolves with the bound address; the system chooses the port if the settings say 0. */
export async function listenOn(server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return `${host}:${bound.port}`;
}
