export { DirectoryPlugin } from './DirectoryPlugin';
