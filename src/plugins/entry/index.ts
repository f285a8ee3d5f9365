export { EntryPlugin } from './EntryPlugin';
