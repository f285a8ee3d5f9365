export { GossipPlugin } from './GossipPlugin';
