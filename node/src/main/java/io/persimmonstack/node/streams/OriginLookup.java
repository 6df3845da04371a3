package io.persimmonstack.node.streams;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.Peer;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.gen.NodeLink;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Asks the nodes that rank first for a request where its stream began, all at once and for a bounded time. */
final class OriginLookup {
    /** Time for which a node waits for answers. */
    static final long MAX_WAIT_MS = 150;
    /** Pause before a node that did not know the origin is asked again, since the copy may be on its way. */
    private static final long SECOND_ASK_AFTER_MS = 30;

    private static final int ASKS = 2;

    private final String self;
    private final FleetView fleet;
    private final ThriftPeers<NodeLink.Client> links;
    private final long maxWaitMs;

    /**
     * Result of a lookup.
     *
     * @param copy the origin, empty if no node that answered knows it
     * @param holder name of the node that knew it, "-" if none did
     * @param asked number of nodes asked
     * @param answered number of nodes that answered in time
     * @param allAnswered whether all other nodes were asked and answered
     */
    record Result(Optional<OriginCopy> copy, String holder, int asked, int answered, boolean allAnswered) {
        /** Returns the result without a lookup. */
        static Result none() {
            return new Result(Optional.empty(), "-", 0, 0, false);
        }
    }

    /**
     * Answer of one node to one call, or its failure.
     *
     * @param peer the node
     * @param answered whether it answered
     * @param copy the origin, empty if it does not know it or did not answer
     * @param last whether the node is not asked again
     */
    private record Answer(Peer peer, boolean answered, Optional<OriginCopy> copy, boolean last) {}

    private OriginLookup(String self, FleetView fleet, ThriftPeers<NodeLink.Client> links, long maxWaitMs) {
        this.self = self;
        this.fleet = fleet;
        this.links = links;
        this.maxWaitMs = maxWaitMs;
    }

    /**
     * Creates a lookup.
     *
     * @param self name of this node
     * @param fleet lists the other nodes
     * @param links connections to them
     * @param maxWaitMs longest time for which answers are awaited, in milliseconds
     */
    static OriginLookup of(String self, FleetView fleet, ThriftPeers<NodeLink.Client> links, long maxWaitMs) {
        return new OriginLookup(self, fleet, links, maxWaitMs);
    }

    /**
     * Asks for an origin. Returns as soon as one node knows it, or when all have answered, or at the
     * end of the longest wait.
     *
     * @param request identifier of the request that brought the first event
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    Result ask(String request) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxWaitMs);
        Map<String, Peer> peers = fleet.current().peers();
        List<Peer> asked = OriginHolders.ranked(request, peers, self, OriginHolders.ASKED);
        int others = peers.size() - (peers.containsKey(self) ? 1 : 0);
        BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
        AtomicBoolean done = new AtomicBoolean();
        try {
            asked.forEach(peer -> Thread.ofVirtual()
                    .name("origin-lookup")
                    .start(() -> askRepeatedly(peer, request, deadlineNanos, done, answers)));
            return await(asked.size(), others, answers, deadlineNanos);
        } finally {
            done.set(true);
        }
    }

    private static Result await(int asked, int others, BlockingQueue<Answer> answers, long deadlineNanos)
            throws InterruptedException {
        Set<Peer> answered = new HashSet<>();
        int remaining = asked;
        while (remaining > 0) {
            Answer answer = answers.poll(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (answer == null) {
                break;
            }
            if (answer.answered()) {
                answered.add(answer.peer());
            }
            if (answer.copy().isPresent()) {
                return new Result(answer.copy(), answer.peer().node(), asked, answered.size(), false);
            }
            if (answer.last()) {
                remaining--;
            }
        }
        return new Result(Optional.empty(), "-", asked, answered.size(), answered.size() == others);
    }

    private void askRepeatedly(
            Peer peer, String request, long deadlineNanos, AtomicBoolean done, BlockingQueue<Answer> answers) {
        try {
            for (int asks = 1; asks <= ASKS && !done.get(); asks++) {
                if (asks > 1) {
                    TimeUnit.MILLISECONDS.sleep(SECOND_ASK_AFTER_MS);
                }
                answers.add(askOnce(peer, request, deadlineNanos, asks == ASKS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Answer askOnce(Peer peer, String request, long deadlineNanos, boolean last) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        if (leftMs <= 0) {
            return new Answer(peer, false, Optional.empty(), true);
        }
        try {
            Optional<OriginCopy> copy =
                    links.call(peer.linkAddress(), (int) leftMs, client -> client.findOrigin(request)).stream()
                            .findFirst()
                            .map(OriginMessages::fromMessage);
            return new Answer(peer, true, copy, last);
        } catch (WireException e) {
            return new Answer(peer, false, Optional.empty(), last);
        }
    }
}
