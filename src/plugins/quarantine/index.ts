export { QuarantinePlugin } from './QuarantinePlugin';
