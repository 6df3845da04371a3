package io.persimmonstack.node.streams;

import io.persimmonstack.node.fleet.RunnerProcess;
import java.util.Optional;

/** Converts between copies of origins and their Thrift messages. */
final class OriginMessages {
    private OriginMessages() {}

    static io.persimmonstack.wire.gen.StreamOrigin toMessage(OriginCopy copy) {
        io.persimmonstack.wire.gen.StreamOrigin message = new io.persimmonstack.wire.gen.StreamOrigin(
                copy.request(), copy.origin().service(), copy.origin().softwareVersion(), copy.validMs());
        copy.origin()
                .process()
                .ifPresent(process -> message.setProcess(
                        new io.persimmonstack.wire.gen.RunnerProcess(process.runner(), process.startedMs())));
        return message;
    }

    static OriginCopy fromMessage(io.persimmonstack.wire.gen.StreamOrigin message) {
        return new OriginCopy(
                message.getRequest(),
                new StreamOrigin(
                        message.getServiceName(),
                        message.getSoftwareVersion(),
                        Optional.ofNullable(message.getProcess())
                                .map(process -> new RunnerProcess(process.getRunner(), process.getStartedMs()))),
                message.getValidMs());
    }
}
