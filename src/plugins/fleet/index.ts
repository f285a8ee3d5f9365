export { FleetPlugin } from './FleetPlugin';
