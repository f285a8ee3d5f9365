export { HttpPlugin } from './HttpPlugin';
