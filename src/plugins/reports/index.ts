export { ReportsPlugin } from './ReportsPlugin';
