/** What the node knows of runners, other nodes and the configuration, swapped whole on each change. */
package io.persimmonstack.node.fleet;
