/**
 * The plug-ins of a forwarding node, in the order of their set-up. Loading this module registers
 * them.
 */
import './plugins/deployment';
import './plugins/peers';
import './plugins/members';
import './platform';
import './plugins/metrics';
import './plugins/directory';
import './plugins/forwarding';
import './plugins/frontHttp';
