export { ForwardingPlugin } from './ForwardingPlugin';
