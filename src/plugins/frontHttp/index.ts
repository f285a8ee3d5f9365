export { FrontHttpPlugin } from './FrontHttpPlugin';
