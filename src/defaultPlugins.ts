/**
 * The plug-ins of a node, in the order of their set-up. Loading this module registers them.
 */
import './plugins/published';
import './plugins/fleet';
import './plugins/peers';
import './plugins/gossip';
import './plugins/reports';
import './plugins/explain';
import './plugins/limits';
import './plugins/metrics';
import './plugins/routing';
import './plugins/generations';
import './plugins/calls';
import './plugins/operations';
import './plugins/entry';
import './plugins/http';
