export { OriginsPlugin } from './OriginsPlugin';
