import java.util.List;

/** Checks, once all is calm again after a load, that the nodes still serve as the rules demand. */
abstract class AfterLoad extends Scenario {
    private static final int LEFT_STREAMS = 4;

    /** Writes a manifest with one more route and checks all nodes. */
    void checkNodes(String manifest, List<String> broken) throws Exception {
        store.write("op/config", manifest);
        record.line("a manifest with route /added/ is confirmed");
        Thread.sleep(4_000);
        for (int turn = 0; turn < 3; turn++) {
            for (Node node : nodes) {
                check(node, turn, broken);
            }
            Thread.sleep(2_000);
        }
        if (broken.isEmpty()) {
            for (Node node : nodes) {
                checkLeft(node, broken);
            }
            checkLoad(broken);
        }
    }

    private void check(Node node, int turn, List<String> broken) throws Exception {
        boolean ready = node.isReady();
        record.line("%s: process %s, ready %s", node.name, node.isAlive() ? "runs" : "has ended", ready);
        if (!node.isAlive()) {
            broken.add(node.name + ": the process has ended by itself");
            return;
        }
        String id = "added-" + node.name + "-" + turn;
        Caller.Answer answer = Caller.send(node.front, head("GET", "/added/x", id, 1_500, -1), new byte[0], 2_000);
        record.line("caller %s: %d after %d ms %s", id, answer.status(), answer.ms(), answer.failure());
        if (answer.status() == 0) {
            broken.add("hang: " + node.name + " (process runs, ready: " + ready
                    + ") gives no answer within 2 s, long after the load");
        } else if (answer.status() == 404) {
            broken.add("CONFIG " + node.name + " (ready: " + ready + ") answers 404 on a route that was confirmed "
                    + (4 + 2 * turn) + " s before");
        }
    }

    /** Requesters leave streams after their first events; the runner may work on them for half a second. */
    private void checkLeft(Node node, List<String> broken) throws Exception {
        int begun = 0;
        int working = 0;
        for (int i = 0; i < LEFT_STREAMS; i++) {
            String id = "left-" + node.name + "-" + i;
            Caller.Answer answer = chatUntil(node, id, "m0", 600);
            boolean stillRuns = answer.events().size() > 0 && runsAfter(id, 900);
            begun += answer.events().size() > 0 ? 1 : 0;
            working += stillRuns ? 1 : 0;
            record.line("caller %s left after %d events; runner at work 0.9 s later: %s", id, answer.events().size(), stillRuns);
        }
        if (begun > 0 && working * 4 > begun) {
            broken.add("GONE: runners still worked on " + working + " of " + begun + " streams 0.9 s after their requesters had left "
                    + node.name);
        }
    }

    private Caller.Answer chatUntil(Node node, String id, String model, int leaveMs) throws Exception {
        return Caller.sendAndLeave(node.front, head("POST", "/chat/x", id, 12_000, 2, "X-Model: " + model, "X-Token-Count: 60,20",
                "X-Prompt-Prefix: a1:20,b2:20"), "{}".getBytes(), leaveMs);
    }

    private boolean runsAfter(String id, long ms) throws InterruptedException {
        Thread.sleep(ms);
        return runners.stream().anyMatch(runner -> runner.atWork.contains(id));
    }

    /** A model that no runner holds has to be loaded for the requests that ask for it; a runner has room for it. */
    private void checkLoad(List<String> broken) throws Exception {
        for (int turn = 0; turn < 10; turn++) {
            Caller.Answer answer = chat(nodes.getLast(), "cold-" + turn, "m3", 3_000);
            if (answer.status() == 200) {
                return;
            }
            Thread.sleep(500);
        }
        broken.add("hang: a model that requests wait for is not loaded, though a runner is idle and has room");
    }
}
