export { RoutingPlugin } from './RoutingPlugin';
