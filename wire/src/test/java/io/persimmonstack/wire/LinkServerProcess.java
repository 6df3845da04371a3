package io.persimmonstack.wire;

import io.persimmonstack.wire.gen.ClaimAnswer;
import io.persimmonstack.wire.gen.ClaimRecord;
import io.persimmonstack.wire.gen.ClaimResult;
import io.persimmonstack.wire.gen.CrashReportRecord;
import io.persimmonstack.wire.gen.RouterPeer;
import java.util.List;
import java.util.Map;

/** Main class of a process that has only a {@link ThriftServer}, on the port of its argument. */
final class LinkServerProcess {
    /** Key of claims that are answered with a large record. */
    static final String LARGE = "large";

    private static final int LARGE_BYTES = 256 * 1024;

    private LinkServerProcess() {}

    /** Answers each claim. */
    private record Handler(byte[] large) implements RouterPeer.Iface {
        @Override
        public ClaimAnswer claim(ClaimRecord claim, int waitMs, Map<String, String> trace) {
            ClaimAnswer answer = new ClaimAnswer(ClaimResult.CLAIMED);
            return claim.getKey().equals(LARGE) ? answer.setRecord(claim.setBody(large)) : answer;
        }

        @Override
        public void settle(ClaimRecord outcome, Map<String, String> trace) {}

        @Override
        public void keepCrashReports(List<CrashReportRecord> reports) {}
    }

    /** Starts the server; the test ends the process. */
    public static void main(String[] arguments) throws WireException, InterruptedException {
        PeerAddress address = new PeerAddress("127.0.0.1", Integer.parseInt(arguments[0]));
        try (ThriftServer server =
                ThriftServer.start(address, new RouterPeer.Processor<>(new Handler(new byte[LARGE_BYTES])))) {
            Thread.currentThread().join();
        }
    }
}
