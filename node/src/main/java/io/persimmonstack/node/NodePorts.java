package io.persimmonstack.node;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.coordination.kv.LeasedKvStore;
import io.persimmonstack.node.planning.RunnerControl;
import io.persimmonstack.node.sending.RunnerProtocol;
import io.persimmonstack.node.store.RoutingDecoder;
import io.persimmonstack.node.store.RunnerDecoder;

/**
 * What the node speaks to, each through an interface of its own.
 *
 * @param store key-value service
 * @param routingDecoder reads configurations
 * @param runnerDecoder reads descriptions of runners
 * @param protocol protocol of callers and runners
 * @param runnerControl orders to runners
 * @param connector connections to runners
 */
public record NodePorts(
        LeasedKvStore store,
        RoutingDecoder routingDecoder,
        RunnerDecoder runnerDecoder,
        RunnerProtocol protocol,
        RunnerControl runnerControl,
        HttpConnector connector) {}
