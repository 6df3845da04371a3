package io.persimmonstack.coordinator.view;

import io.persimmonstack.coordination.membership.Announcement;
import io.persimmonstack.coordination.membership.Member;
import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.coordinator.load.RunnerView;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Combines the members, the announced runner states and the host list that this node knows. Thread-safe. */
public final class FleetView {
    private final Membership<NodeAttributes, RunnerStatus> membership;
    private final AtomicReference<HostListSnapshot> hosts = new AtomicReference<>(HostListSnapshot.notReadYet());

    private FleetView(Membership<NodeAttributes, RunnerStatus> membership) {
        this.membership = membership;
    }

    /** Creates a view on a membership, without a host list yet. */
    public static FleetView of(Membership<NodeAttributes, RunnerStatus> membership) {
        return new FleetView(membership);
    }

    /** Returns the membership of the node. */
    public Membership<NodeAttributes, RunnerStatus> membership() {
        return membership;
    }

    /** Returns the host list as last read. */
    public HostListSnapshot hosts() {
        return hosts.get();
    }

    /**
     * Replaces the host list.
     *
     * @param newHosts newly read list
     * @return whether it differs from the previous one
     */
    public boolean replaceHosts(HostListSnapshot newHosts) {
        return !hosts.getAndSet(newHosts).equals(newHosts);
    }

    /** Returns the members that are neither dead nor leaving, by node name. */
    public Map<String, Member<NodeAttributes>> liveMembers() {
        return membership.liveMembers().stream().collect(Collectors.toMap(Member::node, Function.identity()));
    }

    /** Returns the membership entry of a node, or empty if it is unknown. */
    public Optional<Member<NodeAttributes>> member(String node) {
        return membership.members().stream()
                .filter(member -> member.node().equals(node))
                .findFirst();
    }

    /** Returns the last announced state of a runner, or empty if there is none. */
    public Optional<RunnerStatus> status(String runner) {
        return membership.announcements().stream()
                .filter(announcement -> announcement.subject().equals(runner))
                .map(Announcement::state)
                .findFirst();
    }

    /** Returns all runners that are not gone, in the form that load planning uses. */
    public List<RunnerView> runners() {
        Map<String, Member<NodeAttributes>> live = liveMembers();
        HostListSnapshot hostList = hosts.get();
        return statuses(hostList).stream()
                .map(status -> new RunnerView(status, status.isLeaving(), isOwnerLive(status, live)))
                .toList();
    }

    /** Returns whether the process that announced the state is still live; a restarted owner counts as another one. */
    private static boolean isOwnerLive(RunnerStatus status, Map<String, Member<NodeAttributes>> live) {
        Member<NodeAttributes> owner = live.get(status.getOwnerNode());
        return owner != null && owner.incarnation() == status.getOwnerIncarnation();
    }

    /**
     * Returns the announced states of all runners that the host list does not report as gone. Runners that it reports
     * as leaving are marked so, even if their owner has not announced it yet.
     */
    public Collection<RunnerStatus> statuses() {
        return statuses(hosts.get());
    }

    private Collection<RunnerStatus> statuses(HostListSnapshot hostList) {
        return membership.announcements().stream()
                .map(Announcement::state)
                .filter(status -> !hostList.runnerIsGone(status.getRunner()))
                .map(status -> markLeaving(status, hostList))
                .toList();
    }

    private static RunnerStatus markLeaving(RunnerStatus status, HostListSnapshot hostList) {
        if (status.isLeaving() || !hostList.runnerIsLeavingOrGone(status.getRunner())) {
            return status;
        }
        RunnerStatus leavingStatus = new RunnerStatus(status);
        leavingStatus.setLeaving(true);
        return leavingStatus;
    }
}
