package io.persimmonstack.coordinator;

import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TTransportException;

/**
 * Thrift processor that closes connections until its delegate is set, so that the server can bind its port before the
 * node joins the fleet.
 */
final class DeferredProcessor implements TProcessor {
    private volatile TProcessor delegate;

    void setDelegate(TProcessor processor) {
        delegate = processor;
    }

    @Override
    public void process(TProtocol in, TProtocol out) throws TException {
        TProcessor active = delegate;
        if (active == null) {
            throw new TTransportException(TTransportException.END_OF_FILE, "the coordinator is starting");
        }
        active.process(in, out);
    }
}
