package io.persimmonstack.coordination.membership;

import io.persimmonstack.coordination.time.FakeTime;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Simulated network of members in one process: messages are method calls, links can fail, and time is virtual. */
final class FakeNetwork {
    static final MembershipOptions OPTIONS = new MembershipOptions(2, 4_000, 60_000, 8, 0.5);

    private final Map<String, Membership<String, String>> members = new HashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Set<String> slowLinks = new HashSet<>();
    private final Random random;
    private long nowMs;

    FakeNetwork(long seed) {
        random = new Random(seed);
    }

    Membership<String, String> start(String node, long incarnation, String region) {
        Member<String> self =
                new Member<>(node, incarnation, 1, MemberStatus.ALIVE, new Locality(region + "-1", region), node, "");
        Membership<String, String> membership = Membership.of(
                self,
                OPTIONS,
                FakeTime.ofMillis(() -> nowMs),
                random,
                new FakeTransport(node),
                MembershipListener.NONE);
        members.put(node, membership);
        return membership;
    }

    void stop(String node) {
        members.remove(node);
    }

    Membership<String, String> member(String node) {
        return members.get(node);
    }

    /** Cuts the link in both directions. */
    void cut(String first, String second) {
        cutLinks.add(first + ">" + second);
        cutLinks.add(second + ">" + first);
    }

    /** Cuts the link from the first to the second node; the opposite direction still works. */
    void cutOneWay(String first, String second) {
        cutLinks.add(first + ">" + second);
    }

    /** Delays the link in both directions beyond the timeout: messages arrive, but their answers come too late. */
    void delay(String first, String second) {
        slowLinks.add(first + ">" + second);
        slowLinks.add(second + ">" + first);
    }

    void heal() {
        cutLinks.clear();
        slowLinks.clear();
    }

    /** Advances time by one second, in which every member probes once and synchronizes once. */
    void round() {
        nowMs += 1_000;
        for (Membership<String, String> member : members.values()) {
            member.probeRound();
            member.synchronizeRound(java.util.List.of());
        }
    }

    void rounds(int count) {
        for (int i = 0; i < count; i++) {
            round();
        }
    }

    /** Returns the status of a node as known to the observer, or null if the observer does not know the node. */
    MemberStatus statusSeenBy(String observer, String node) {
        return member(observer).members().stream()
                .filter(member -> member.node().equals(node))
                .map(Member::status)
                .findFirst()
                .orElse(null);
    }

    private final class FakeTransport implements GossipTransport<String, String> {
        private final String from;

        FakeTransport(String from) {
            this.from = from;
        }

        private <T> T call(String to, Message<T> message) throws GossipException {
            if (!members.containsKey(to) || cutLinks.contains(from + ">" + to)) {
                throw new GossipException(to + ": no answer");
            }
            T answer = message.deliverTo(members.get(to));
            if (slowLinks.contains(from + ">" + to)) {
                throw new GossipException(to + ": answer too late");
            }
            return answer;
        }

        @Override
        public Updates<String, String> probe(String to, Member<String> sender, Updates<String, String> updates)
                throws GossipException {
            return call(to, member -> member.onProbe(sender, updates));
        }

        @Override
        public Updates<String, String> probeVia(
                String to, String target, Member<String> sender, Updates<String, String> updates)
                throws GossipException {
            return call(to, member -> member.onProbeVia(sender, target, updates));
        }

        @Override
        public SyncAnswer<String, String> synchronize(String to, Member<String> sender, Digest digest)
                throws GossipException {
            return call(to, member -> member.onSynchronize(sender, digest));
        }

        @Override
        public void deliver(String to, Member<String> sender, Updates<String, String> updates) throws GossipException {
            call(to, member -> {
                member.onDeliver(sender, updates);
                return true;
            });
        }
    }

    private interface Message<T> {
        T deliverTo(Membership<String, String> receiver) throws GossipException;
    }
}
