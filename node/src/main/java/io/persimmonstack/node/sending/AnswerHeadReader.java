package io.persimmonstack.node.sending;

import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpHeader;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Runner;
import java.util.List;

/** Classifies the heads of runners' answers and records what the runners say about themselves there. */
final class AnswerHeadReader {
    private final RunnerProtocol protocol;
    private final FleetView fleet;

    private AnswerHeadReader(RunnerProtocol protocol, FleetView fleet) {
        this.protocol = protocol;
        this.fleet = fleet;
    }

    /** Returns a reader that records notices in the given view. */
    static AnswerHeadReader of(RunnerProtocol protocol, FleetView fleet) {
        return new AnswerHeadReader(protocol, fleet);
    }

    /**
     * Classifies the head of an answer, whether or not the answer will be used. A notice counts only if the answer
     * surely comes from the runner: another process may have its address, or bytes may be forged.
     *
     * @param runner runner that the request was sent to
     * @param call call whose head has arrived
     */
    AnswerHead read(Runner runner, HttpCall call) {
        List<HttpHeader> headers = call.headers();
        AnswerHead head = protocol.classify(call.status(), headers);
        switch (head) {
            case FULL, RAN -> fleet.recordNotice(runner, protocol.notice(call.status(), headers));
            case MISDIRECTED, FORGED -> {}
            default -> throw new IllegalStateException("unknown head " + head);
        }
        return head;
    }
}
