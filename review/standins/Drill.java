import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The machine that leads is lost for good. Some seconds later, after another one has led and given orders, the store is
 * away for a moment and comes back from a copy from before that election. Orders of two machines to one runner must not
 * bear the same fence number.
 */
final class Drill extends Scenario {
    private static final int NODES = 4;
    private static final int ROUNDS = 6;
    private static final long END_SECONDS = 100;
    private static final long AWAY_MS = 1_000;
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean over;
    private int started = NODES;

    public static void main(String[] arguments) {
        run(new Drill(), arguments);
    }

    @Override
    List<String> play() throws Exception {
        store.write("op/config", Manifest.text(3, 2, 1));
        Runner runner = addRunner(
                new Runner("llm-0", "1", new Runner.Kind("models", 8, 0, 3, 20, 1, 200), record, List.of("m0")));
        startNodes(NODES);
        Thread demand = Thread.ofVirtual().start(this::demand);
        int rounds = 0;
        List<String> broken = new ArrayList<>();
        for (int round = 0; round < ROUNDS && broken.isEmpty() && record.seconds() < END_SECONDS - 16; round++) {
            round(runner);
            rounds++;
            broken.addAll(sharedFences(runner));
        }
        over = true;
        demand.join();
        record.line("%d rounds", rounds);
        if (rounds == 0) {
            throw new NotRun("no round was played");
        }
        return broken;
    }

    /** Callers ask for two models by turns; the runner has room for one. */
    private void demand() {
        while (!over) {
            int number = requests.incrementAndGet();
            Thread.ofVirtual().start(() -> {
                try {
                    Node node;
                    synchronized (nodes) {
                        node = nodes.get(number % nodes.size());
                    }
                    chat(node, "chat-" + number, "m" + number / 4 % 2, 6_000);
                } catch (Exception e) {
                    record.line("caller chat-%d: %s", number, e);
                }
            });
            try {
                Thread.sleep(150);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void round(Runner runner) throws Exception {
        Runner.Order last = awaitOrderAfter(runner, orderCount(runner), "");
        Node leader = node(last.holder());
        record.line("%s leads with %d and is lost for good", leader.name, last.fence());
        long lostNanos = System.nanoTime();
        leader.kill();
        synchronized (nodes) {
            nodes.remove(leader);
        }
        Runner.Order next = awaitOrderAfter(runner, orderCount(runner), leader.name);
        record.line("%s leads with %d and gives orders", next.holder(), next.fence());
        Thread.sleep(600);
        if (trouble) {
            drill(lostNanos, next.fence());
        }
        Runner.Order later = awaitOrderAfter(runner, orderCount(runner), leader.name);
        record.line("then %s leads with %d", later.holder(), later.fence());
        Thread.sleep(500);
        synchronized (nodes) {
            Node added = Node.start("node-" + ++started, store.port(), temporary, repository);
            nodes.add(added);
        }
        nodes.getLast().awaitReady(30);
        Thread.sleep(1_500);
    }

    /** The copy is from before the last entry that a runner wrote before the election. */
    private void drill(long lostNanos, long electedRevision) throws Exception {
        Store.Copy chosen = null;
        List<Store.Copy> copies = store.copiesSince(lostNanos - 3_000_000_000L);
        for (int i = 0; i + 1 < copies.size(); i++) {
            Store.Copy before = copies.get(i);
            Store.Copy after = copies.get(i + 1);
            boolean runnerWrote = after.events().getLast().key().startsWith("servers/");
            if (after.revision() < electedRevision && runnerWrote) {
                chosen = before;
            }
        }
        if (chosen == null) {
            record.line("no copy; no drill in this round");
            return;
        }
        store.goAway();
        Thread.sleep(AWAY_MS);
        store.comeBack(chosen);
    }

    private static int orderCount(Runner runner) {
        synchronized (runner) {
            return runner.orders.size();
        }
    }

    /** Waits for an accepted order after the first ones, of another holder than the given one. */
    private Runner.Order awaitOrderAfter(Runner runner, int count, String otherThan) throws Exception {
        for (int i = 0; i < 1_000; i++) {
            synchronized (runner) {
                for (Runner.Order order : runner.orders.subList(Math.min(count, runner.orders.size()), runner.orders.size())) {
                    if (order.answer().equals("202") && !order.holder().equals(otherThan)) {
                        return order;
                    }
                }
            }
            Thread.sleep(10);
        }
        throw new NotRun("no order for 10 s");
    }

    private Node node(String name) throws NotRun {
        synchronized (nodes) {
            return nodes.stream()
                    .filter(node -> node.name.equals(name))
                    .findFirst()
                    .orElseThrow(() -> new NotRun("no node " + name));
        }
    }

    private static List<String> sharedFences(Runner runner) {
        Map<Long, Set<String>> holders = new HashMap<>();
        synchronized (runner) {
            runner.orders.forEach(order ->
                    holders.computeIfAbsent(order.fence(), fence -> new HashSet<>()).add(order.holder()));
        }
        List<String> broken = new ArrayList<>();
        holders.forEach((fence, names) -> {
            if (names.size() > 1) {
                broken.add("ONE: orders of " + names + " to runner " + runner.id + " bear fence number " + fence);
            }
        });
        return broken;
    }
}
