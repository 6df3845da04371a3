package io.persimmonstack.coordination.membership;

import io.persimmonstack.coordination.time.TimeSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * SWIM-style membership of one node: probes with suspicion, piggybacked updates and anti-entropy. The caller runs
 * {@link #probeRound()} and {@link #synchronizeRound(Collection)} periodically and passes received messages to the
 * {@code on...} methods.
 *
 * <pre>{@code
 * Membership<Info, State> membership = Membership.of(self, options, time, random, transport, listener);
 * membership.join(seeds);
 * scheduler.scheduleWithFixedDelay(membership::probeRound, 1, 1, SECONDS);
 * }</pre>
 *
 * @param <A> type of the member attributes
 * @param <R> type of the runner states
 */
public final class Membership<A, R> {
    /** One in this many anti-entropy rounds goes to a dead member or an unknown address. */
    private static final int LOST_ADDRESS_ONE_IN = 4;

    /** Number of members that are notified when the process stops. */
    private static final int STOP_NOTICE_RECEIVERS = 3;
    /** Number of answers after which a join asks no further addresses. */
    private static final int MAX_JOIN_ANSWERS = 3;

    private final MembershipState<A, R> state;
    private final MembershipOptions options;
    private final RandomGenerator random;
    private final GossipTransport<A, R> transport;
    private final MembershipListener listener;
    private final ProbeSchedule<A> schedule;

    private Membership(
            MembershipState<A, R> state,
            MembershipOptions options,
            RandomGenerator random,
            GossipTransport<A, R> transport,
            MembershipListener listener) {
        this.state = state;
        this.options = options;
        this.random = random;
        this.transport = transport;
        this.listener = listener;
        this.schedule = new ProbeSchedule<>(random, options.crossRegionShare());
    }

    /**
     * Creates the membership of a node that knows only itself.
     *
     * @param self entry of the node
     * @param options parameters of the protocol
     * @param time source of monotonic time for suspicion and removal
     * @param random source of randomness for the choice of members
     * @param transport sends messages to other members
     * @param listener receives notifications of changes
     * @param <A> type of the member attributes
     * @param <R> type of the runner states
     * @return the membership
     */
    public static <A, R> Membership<A, R> of(
            Member<A> self,
            MembershipOptions options,
            TimeSource time,
            RandomGenerator random,
            GossipTransport<A, R> transport,
            MembershipListener listener) {
        return new Membership<>(new MembershipState<>(self, options, time), options, random, transport, listener);
    }

    /** Returns the node's own entry. */
    public Member<A> self() {
        return state.self();
    }

    /** Returns all known members, including the node itself and dead members. */
    public Collection<Member<A>> members() {
        return state.members();
    }

    /** Returns the members that are neither dead nor leaving, including suspected ones and the node itself. */
    public List<Member<A>> liveMembers() {
        return state.members().stream()
                .filter(member -> member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT)
                .toList();
    }

    /** Returns the newest known state of each runner. */
    public Collection<Announcement<R>> announcements() {
        return state.announcements();
    }

    /** Replaces the node's own attributes by what {@code change} returns; a difference is announced by gossip. */
    public void update(UnaryOperator<A> change) {
        if (state.updateSelf(state.self().status(), change)) {
            listener.changed();
        }
    }

    /** Announces that the node is leaving; it keeps answering probes. */
    public void leave() {
        state.updateSelf(MemberStatus.LEAVING, attributes -> attributes);
        listener.changed();
    }

    /** Announces that the process stops now, so that other members need not detect it by probes. */
    public void announceStop() {
        state.updateSelf(MemberStatus.DEAD, attributes -> attributes);
        disseminate(STOP_NOTICE_RECEIVERS);
    }

    /** Announces a runner's state, unless a newer announcement is known. */
    public void announce(Announcement<R> announcement) {
        if (state.announce(announcement)) {
            listener.changed();
        }
    }

    /** Removes the state of the runner named {@code subject}, which no longer exists, at this node only. */
    public void removeAnnouncement(String subject) {
        state.removeAnnouncement(subject);
    }

    /** Raises the configuration version that this node advertises to other members. Lower versions are ignored. */
    public void advertiseConfiguration(long version) {
        state.advertiseConfiguration(version);
    }

    /**
     * Joins the fleet: synchronizes with the first addresses that answer, at most three. From then on the incarnation
     * of the node is fixed; before, it is raised above that of an earlier process.
     *
     * @param addresses addresses of possible members
     * @return number of members that answered
     */
    public int join(Collection<String> addresses) {
        int answered = 0;
        for (String address : addresses) {
            if (answered < MAX_JOIN_ANSWERS && !address.equals(self().address()) && synchronizeWith(address)) {
                answered++;
            }
        }
        state.fixIncarnation();
        return answered;
    }

    /**
     * Probes the next member, through intermediaries if it does not answer directly, and suspects it if neither
     * succeeds. Also declares expired suspects dead.
     */
    public void probeRound() {
        Member<A> self = state.self();
        List<Member<A>> candidates = state.members().stream()
                .filter(member -> member.status().participates())
                .filter(member -> !member.node().equals(self.node()))
                .toList();
        schedule.nextTarget(candidates, self.locality().region()).ifPresent(target -> probe(target, candidates));
        if (state.expireMembers()) {
            listener.changed();
        }
    }

    private void probe(Member<A> target, List<Member<A>> candidates) {
        if (probeDirectly(target) || probeIndirectly(target, candidates)) {
            return;
        }
        if (state.suspect(target.version())) {
            listener.changed();
        }
    }

    private boolean probeDirectly(Member<A> target) {
        try {
            Updates<A, R> answer =
                    transport.probe(target.address(), self(), state.nextUpdates(Optional.of(target.node())));
            applyUpdates(target.address(), downgradeRemoteDeaths(target.locality(), answer));
            return true;
        } catch (GossipException e) {
            return false;
        }
    }

    /** Asks random live members in turn to probe the target, until one of them gets an answer. */
    private boolean probeIndirectly(Member<A> target, List<Member<A>> candidates) {
        List<Member<A>> intermediaries = new ArrayList<>(candidates);
        intermediaries.removeIf(member -> member.node().equals(target.node()) || member.status() != MemberStatus.ALIVE);
        Collections.shuffle(intermediaries, java.util.Random.from(random));
        for (Member<A> intermediary :
                intermediaries.subList(0, Math.min(options.indirectProbes(), intermediaries.size()))) {
            try {
                Updates<A, R> answer = transport.probeVia(
                        intermediary.address(),
                        target.address(),
                        self(),
                        state.nextUpdates(Optional.of(target.node())));
                applyUpdates(target.address(), downgradeRemoteDeaths(target.locality(), answer));
                return true;
            } catch (GossipException e) {
                continue;
            }
        }
        return false;
    }

    /**
     * Synchronizes all entries with one other member. Occasionally chooses a dead member or an address of no known
     * member, so that partitions of the fleet merge again.
     *
     * @param contacts addresses of possible members
     */
    public void synchronizeRound(Collection<String> contacts) {
        chooseSyncAddress(contacts).ifPresent(this::synchronizeWith);
    }

    /** Returns the address to synchronize with, or empty if there is none. */
    private Optional<String> chooseSyncAddress(Collection<String> contacts) {
        Member<A> self = state.self();
        Collection<Member<A>> members = state.members();
        List<String> live = members.stream()
                .filter(member ->
                        member.status().participates() && !member.node().equals(self.node()))
                .filter(member -> isSyncCandidate(member, self))
                .map(Member::address)
                .toList();
        Set<String> participating = members.stream()
                .filter(member -> member.status().participates())
                .map(Member::address)
                .collect(java.util.stream.Collectors.toSet());
        List<String> lost = java.util.stream.Stream.concat(
                        contacts.stream(), members.stream().map(Member::address))
                .filter(address -> !participating.contains(address))
                .distinct()
                .toList();
        boolean chooseLost = !lost.isEmpty() && (live.isEmpty() || random.nextInt(LOST_ADDRESS_ONE_IN) == 0);
        List<String> candidates = chooseLost ? lost : live;
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Returns true for a member of the own region, and with the configured probability for one of another region. */
    private boolean isSyncCandidate(Member<A> member, Member<A> self) {
        return member.locality().region().equals(self.locality().region())
                || random.nextDouble() < options.crossRegionShare();
    }

    private boolean synchronizeWith(String address) {
        try {
            SyncAnswer<A, R> answer = transport.synchronize(address, self(), state.digest());
            applyUpdates(address, downgradeRemoteDeaths(localityAt(address), answer.newer()));
            Updates<A, R> wanted =
                    state.selectUpdates(Set.copyOf(answer.wantedMembers()), Set.copyOf(answer.wantedSubjects()));
            if (!wanted.isEmpty()) {
                transport.deliver(address, self(), wanted);
            }
            return true;
        } catch (GossipException e) {
            return false;
        }
    }

    /**
     * Sends pending updates to some random live members at once, for changes that should not wait for the next round.
     * Members that do not answer are skipped.
     *
     * @param receivers maximum number of members to send to
     */
    public void disseminate(int receivers) {
        Member<A> self = state.self();
        List<Member<A>> targets = new ArrayList<>(liveMembers());
        targets.removeIf(member -> member.node().equals(self.node()));
        Collections.shuffle(targets, java.util.Random.from(random));
        for (Member<A> target : targets.subList(0, Math.min(receivers, targets.size()))) {
            try {
                transport.deliver(target.address(), self, state.nextUpdates(Optional.of(target.node())));
            } catch (GossipException e) {
                continue;
            }
        }
    }

    /**
     * Answers a probe.
     *
     * @param sender entry of the sender
     * @param updates updates from the sender
     * @return updates for the sender
     */
    public Updates<A, R> onProbe(Member<A> sender, Updates<A, R> updates) {
        receive(sender, updates);
        return state.nextUpdates(Optional.of(sender.node()));
    }

    /**
     * Probes another member on behalf of the sender.
     *
     * @param sender entry of the sender
     * @param targetAddress address of the member to probe
     * @param updates updates from the sender, which are forwarded
     * @return updates from the probed member
     * @throws GossipException if the probed member did not answer
     */
    public Updates<A, R> onProbeVia(Member<A> sender, String targetAddress, Updates<A, R> updates)
            throws GossipException {
        receive(sender, updates);
        Updates<A, R> forwarded = downgradeRemoteDeaths(sender.locality(), updates);
        Updates<A, R> answer = transport.probe(targetAddress, self(), forwarded);
        applyUpdates(targetAddress, downgradeRemoteDeaths(localityAt(targetAddress), answer));
        return answer;
    }

    /**
     * Answers a digest.
     *
     * @param sender entry of the sender
     * @param digest versions of the sender's entries
     * @return this node's newer entries, and the names of those that are older than the sender's
     */
    public SyncAnswer<A, R> onSynchronize(Member<A> sender, Digest digest) {
        receive(sender, new Updates<>(List.of(), List.of(), digest.configurationVersion()));
        return state.answerDigest(digest);
    }

    /**
     * Processes updates that need no answer.
     *
     * @param sender entry of the sender
     * @param updates updates from the sender
     */
    public void onDeliver(Member<A> sender, Updates<A, R> updates) {
        receive(sender, updates);
    }

    private void receive(Member<A> sender, Updates<A, R> updates) {
        if (state.mergeMember(sender)) {
            listener.changed();
        }
        applyUpdates(sender.address(), downgradeRemoteDeaths(sender.locality(), updates));
    }

    /**
     * Replaces the status DEAD that another region reports for a live member of this node's region by SUSPECT, which
     * the member can refute. Only its own region declares a member dead; otherwise links between regions that delay or
     * lose answers would cost a member its runners although its own region reaches it.
     */
    private Updates<A, R> downgradeRemoteDeaths(Locality from, Updates<A, R> updates) {
        String region = self().locality().region();
        if (from.region().equals(region)) {
            return updates;
        }
        List<Member<A>> members = updates.members().stream()
                .map(entry -> isDisputedDeath(region, entry) ? entry.withStatus(MemberStatus.SUSPECT) : entry)
                .toList();
        return new Updates<>(members, updates.announcements(), updates.configurationVersion());
    }

    /**
     * Returns whether an entry reports a member of the region as dead that this node sees alive in that incarnation.
     */
    private boolean isDisputedDeath(String region, Member<A> entry) {
        return entry.status() == MemberStatus.DEAD
                && entry.locality().region().equals(region)
                && state.members().stream()
                        .filter(known -> known.node().equals(entry.node()))
                        .filter(known -> known.incarnation() == entry.incarnation())
                        .anyMatch(known -> known.status().participates());
    }

    /** Returns the locality of the member at an address, or this node's own locality if the address is not known. */
    private Locality localityAt(String address) {
        return state.members().stream()
                .filter(member -> member.address().equals(address))
                .map(Member::locality)
                .findFirst()
                .orElseGet(() -> self().locality());
    }

    /** Merges the updates that were received from an address and notifies the listener. */
    private void applyUpdates(String address, Updates<A, R> updates) {
        if (state.merge(updates)) {
            listener.changed();
        }
        if (updates.configurationVersion() > 0) {
            listener.configurationAnnounced(updates.configurationVersion(), address);
        }
        long newerIncarnation = state.supersededBy();
        if (newerIncarnation > 0) {
            listener.superseded(newerIncarnation);
        }
    }
}
