/**
 * Importing this module registers the plug-ins of a forwarding node, in the order in which they are
 * set up.
 */
import './plugins/deployment';
import './plugins/peers';
import './plugins/members';
import './platform';
import './plugins/metrics';
import './plugins/directory';
import './plugins/quarantine';
import './plugins/origins';
import './plugins/forwarding';
import './plugins/frontHttp';
