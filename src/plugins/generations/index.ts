export { GenerationsPlugin } from './GenerationsPlugin';
