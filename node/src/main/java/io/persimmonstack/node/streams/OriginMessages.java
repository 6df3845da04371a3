package io.persimmonstack.node.streams;

/** Converts between copies of origins and their Thrift messages. */
final class OriginMessages {
    private OriginMessages() {}

    static io.persimmonstack.wire.gen.StreamOrigin toMessage(OriginCopy copy) {
        return new io.persimmonstack.wire.gen.StreamOrigin(
                copy.request(), copy.origin().service(), copy.origin().softwareVersion(), copy.validMs());
    }

    static OriginCopy fromMessage(io.persimmonstack.wire.gen.StreamOrigin message) {
        return new OriginCopy(
                message.getRequest(),
                new StreamOrigin(message.getServiceName(), message.getSoftwareVersion()),
                message.getValidMs());
    }
}
