package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerProcess;
import io.persimmonstack.node.placing.Placement;
import io.persimmonstack.node.prompts.PromptPermit;
import java.util.Optional;

/**
 * Runner with a slot for one attempt at a request. One that was reserved to replace a silent runner has the request
 * already and has begun to answer it. Closing it releases slot, connection, permit and call.
 *
 * @param placement slot at the runner
 * @param connection connection to send the request on, empty if any will do
 * @param prompt permission to send the request, by its prompt
 * @param call call whose answer has begun, empty if the request was not sent yet
 */
record ReservedRunner(
        Placement placement, Optional<RunnerConnection> connection, PromptPermit prompt, Optional<HttpCall> call)
        implements AutoCloseable {
    static ReservedRunner notSent(Placement placement, Optional<RunnerConnection> connection, PromptPermit prompt) {
        return new ReservedRunner(placement, connection, prompt, Optional.empty());
    }

    static ReservedRunner answering(
            Placement placement, Optional<RunnerConnection> connection, PromptPermit prompt, HttpCall call) {
        return new ReservedRunner(placement, connection, prompt, Optional.of(call));
    }

    Runner runner() {
        return placement.runner();
    }

    /** Returns the process that gets, or got, the request; empty if it is not known. */
    Optional<RunnerProcess> process() {
        return connection.map(RunnerConnection::process);
    }

    @Override
    public void close() {
        call.ifPresent(HttpCall::close);
        connection.ifPresent(RunnerConnection::close);
        prompt.close();
        placement.close();
    }
}
