/**
 * Binding of a listener to an address of the settings.
 */
import type { AddressInfo, Server } from 'node:net';
import { splitAddress } from '../core';

/** Resolves with the address that was bound, which the settings leave open when they say port 0. */
export async function listenOn(server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return `${host}:${bound.port}`;
}
