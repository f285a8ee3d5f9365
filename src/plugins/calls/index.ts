export { CallsPlugin } from './CallsPlugin';
