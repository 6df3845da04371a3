package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.Placement;
import java.util.Optional;

/**
 * Runner with a slot for one attempt at a request. One that was reserved to replace a silent runner has the request
 * already and has begun to answer it. Closing it releases slot and call.
 *
 * @param placement slot at the runner
 * @param call call whose answer has begun, empty if the request was not sent yet
 */
record ReservedRunner(Placement placement, Optional<HttpCall> call) implements AutoCloseable {
    static ReservedRunner notSent(Placement placement) {
        return new ReservedRunner(placement, Optional.empty());
    }

    static ReservedRunner answering(Placement placement, HttpCall call) {
        return new ReservedRunner(placement, Optional.of(call));
    }

    Runner runner() {
        return placement.runner();
    }

    @Override
    public void close() {
        call.ifPresent(HttpCall::close);
        placement.close();
    }
}
