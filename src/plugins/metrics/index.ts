export { MetricsPlugin } from './MetricsPlugin';
