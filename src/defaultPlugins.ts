/**
 * Importing this module registers the plug-ins of a node, in the order in which they are set up.
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
