/** Sends membership messages over Thrift and converts them between domain and wire types. */
package io.persimmonstack.coordinator.gossip;
