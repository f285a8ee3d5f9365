export { DeploymentPlugin } from './DeploymentPlugin';
