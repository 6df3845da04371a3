package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.IdleConnection;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.Placement;
import java.util.Optional;

/**
 * Runner with a slot for one attempt at a request and, if it was reserved to replace a silent runner, an open
 * connection. Closing it releases both.
 *
 * @param placement slot at the runner
 * @param connection connection that shows that the runner can be reached, empty if none was opened yet
 */
record ReservedRunner(Placement placement, Optional<IdleConnection> connection) implements AutoCloseable {
    static ReservedRunner withoutConnection(Placement placement) {
        return new ReservedRunner(placement, Optional.empty());
    }

    Runner runner() {
        return placement.runner();
    }

    @Override
    public void close() {
        connection.ifPresent(IdleConnection::close);
        placement.close();
    }
}
