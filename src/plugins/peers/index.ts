export { PeersPlugin } from './PeersPlugin';
