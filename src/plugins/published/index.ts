export { PublishedPlugin } from './PublishedPlugin';
