/** Encoding of messages: HTTP for callers and endpoints, frames between nodes. */
export * from './CallerRoutes';
export * from './createBoundedServer';
export * from './createDrainingError';
export * from './eventStream';
export * from './gossipMessages';
export * from './peerFrames';
export * from './problem';
export * from './SingleConnection';
export * from './ClosedConnections';
export * from './closeServers';
export * from './CoalescingRequest';
export * from './ConnectionLimiter';
export * from './ChunkList';
export * from './listenOn';
export * from './pairHeaders';
export * from './readBoundedText';
export * from './readProcessResources';
