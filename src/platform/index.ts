export { PlatformPlugin } from './PlatformPlugin';
