/**
 * End of HTTP listeners.
 */
import type { Server } from 'node:http';

/** Closes listeners with all their connections, also those with a request under way. */
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
