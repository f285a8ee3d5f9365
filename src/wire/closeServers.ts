/**
 * Shutdown of HTTP listeners.
 */
import type { Server } from 'node:http';

/** Closes listeners and all their connections, including those with a request in flight. */
export async function closeServers(servers: ReadonlyArray<Server>): Promise<void> {
  await Promise.all(
    servers.map(async (server) => {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      server.closeAllConnections();
      await closed;
    }),
  );
}
