package io.persimmonstack.node;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.coordination.kv.LeasedKvStore;
import io.persimmonstack.node.planning.RunnerControl;
import io.persimmonstack.node.sending.ProcessCheck;
import io.persimmonstack.node.sending.RunnerProtocol;
import io.persimmonstack.node.store.RoutingDecoder;
import io.persimmonstack.node.store.RunnerDecoder;

/**
 * Interfaces through which the node reaches the store, the runners and the wire protocol.
 *
 * @param store key-value store
 * @param routingDecoder decodes stored configurations
 * @param runnerDecoder decodes the runners' entries in the store
 * @param protocol HTTP conventions of callers and runners
 * @param runnerControl sends orders to runners and reads their reports
 * @param processCheck asks which process of a runner a connection leads to
 * @param connector opens connections to runners
 */
public record NodePorts(
        LeasedKvStore store,
        RoutingDecoder routingDecoder,
        RunnerDecoder runnerDecoder,
        RunnerProtocol protocol,
        RunnerControl runnerControl,
        ProcessCheck processCheck,
        HttpConnector connector) {}
