/**
 * The plug-ins of a node, in the order of their set-up. Loading this module registers them.
 */
import './plugins/published';
import './plugins/fleet';
import './plugins/peers';
import './plugins/gossip';
import './plugins/reports';
import './plugins/explain';
import './plugins/routing';
import './plugins/calls';
import './plugins/entry';
import './plugins/http';
