export { LimitsPlugin } from './LimitsPlugin';
