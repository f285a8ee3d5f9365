export { ExplainPlugin } from './ExplainPlugin';
