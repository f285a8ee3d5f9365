export { OperationsPlugin } from './OperationsPlugin';
