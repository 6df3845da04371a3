/**
 * SWIM-style membership: failure detection by probes, and dissemination of member entries and runner states by gossip.
 * The transport of the messages is an interface.
 */
package io.persimmonstack.coordination.membership;
