export { MembersPlugin } from './MembersPlugin';
