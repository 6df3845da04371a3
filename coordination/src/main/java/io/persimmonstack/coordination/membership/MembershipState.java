package io.persimmonstack.coordination.membership;

import io.persimmonstack.coordination.time.TimeSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/** Members and runner states known to one node, with the entries still to be disseminated. Every method is atomic. */
final class MembershipState<A, R> {
    private static final long NANOS_PER_MS = 1_000_000L;
    private final MembershipOptions options;
    private final TimeSource time;
    private final MemberTable<A> members = new MemberTable<>();
    private final Map<String, Announcement<R>> announcements = new HashMap<>();
    private final GossipQueue memberQueue = new GossipQueue();
    private final GossipQueue announcementQueue = new GossipQueue();
    private Member<A> self;
    private long configurationVersion;
    private boolean incarnationFixed;
    private long supersededBy;

    MembershipState(Member<A> self, MembershipOptions options, TimeSource time) {
        this.self = self;
        this.options = options;
        this.time = time;
        members.merge(self, time.nanoTime());
        memberQueue.enqueue(self.node());
    }

    synchronized Member<A> self() {
        return self;
    }

    /** Returns the highest incarnation of a later process with this node's name, or 0 if there is none. */
    synchronized long supersededBy() {
        return supersededBy;
    }

    /** Keeps the incarnation from now on: a higher one under this node's name means that the process is superseded. */
    synchronized void fixIncarnation() {
        incarnationFixed = true;
    }

    /** Changes the node's own entry; returns whether anything changed. */
    synchronized boolean updateSelf(MemberStatus status, UnaryOperator<A> change) {
        A attributes = change.apply(self.attributes());
        if (status == self.status() && attributes.equals(self.attributes())) {
            return false;
        }
        replaceSelf(self.next(self.sequence() + 1, status, attributes));
        return true;
    }

    private void replaceSelf(Member<A> entry) {
        self = entry;
        members.merge(entry, time.nanoTime());
        memberQueue.enqueue(entry.node());
    }

    synchronized void advertiseConfiguration(long version) {
        configurationVersion = Math.max(configurationVersion, version);
    }

    /** Stores an announcement unless a newer one is known; returns whether it was stored. */
    synchronized boolean announce(Announcement<R> announcement) {
        Announcement<R> existing = announcements.get(announcement.subject());
        if (existing != null && !announcement.supersedes(existing)) {
            return false;
        }
        announcements.put(announcement.subject(), announcement);
        announcementQueue.enqueue(announcement.subject());
        return true;
    }

    synchronized void removeAnnouncement(String subject) {
        announcements.remove(subject);
        announcementQueue.remove(subject);
    }

    /** Merges received updates; returns whether anything changed. */
    synchronized boolean merge(Updates<A, R> updates) {
        boolean changed = false;
        for (Member<A> entry : updates.members()) {
            changed |= mergeMember(entry);
        }
        for (Announcement<R> announcement : updates.announcements()) {
            changed |= announce(announcement);
        }
        return changed;
    }

    /** Merges a member entry, or refutes it if it is a newer one of this node; returns whether anything changed. */
    synchronized boolean mergeMember(Member<A> entry) {
        if (entry.node().equals(self.node())) {
            return refute(entry);
        }
        if (!members.merge(entry, time.nanoTime())) {
            return false;
        }
        memberQueue.enqueue(entry.node());
        return true;
    }

    /** Refutes a newer entry of this node from another member by an entry with a higher sequence number. */
    private boolean refute(Member<A> entry) {
        if (entry.incarnation() > self.incarnation()) {
            return handleLaterIncarnation(entry);
        }
        if (entry.incarnation() < self.incarnation() || !entry.supersedes(self)) {
            return false;
        }
        replaceSelf(self.next(entry.sequence() + 1, self.status(), self.attributes()));
        return true;
    }

    /** Takes a higher incarnation than the other process, or records that this process is superseded. */
    private boolean handleLaterIncarnation(Member<A> entry) {
        if (incarnationFixed) {
            supersededBy = Math.max(supersededBy, entry.incarnation());
            return false;
        }
        replaceSelf(self.withIncarnation(entry.incarnation() + 1));
        return true;
    }

    /** Suspects a member that did not answer, unless its entry has changed since the probe. */
    synchronized boolean suspect(MemberVersion probed) {
        Optional<Member<A>> existing = members.find(probed.node());
        if (existing.isEmpty() || !existing.get().version().equals(probed)) {
            return false;
        }
        return mergeMember(existing.get().withStatus(MemberStatus.SUSPECT));
    }

    /** Declares expired suspects dead and removes members that were dead for long; returns whether anything changed. */
    synchronized boolean expireMembers() {
        long now = time.nanoTime();
        List<Member<A>> dead = members.expireSuspects(now, options.suspicionTimeoutMs() * NANOS_PER_MS);
        dead.forEach(entry -> memberQueue.enqueue(entry.node()));
        List<String> removed = members.removeDead(now, options.forgetAfterMs() * NANOS_PER_MS);
        removed.forEach(memberQueue::remove);
        return !dead.isEmpty() || !removed.isEmpty();
    }

    synchronized Collection<Member<A>> members() {
        return members.all();
    }

    synchronized Collection<Announcement<R>> announcements() {
        return List.copyOf(announcements.values());
    }

    /**
     * Returns the updates for the next message and counts them as transmitted. Includes the entry of a receiver that is
     * suspected or dead, so that it can refute.
     */
    synchronized Updates<A, R> nextUpdates(Optional<String> receiver) {
        Map<String, Member<A>> entries = new HashMap<>();
        receiver.flatMap(members::find)
                .filter(entry -> entry.status().rank() > 0)
                .ifPresent(entry -> entries.put(entry.node(), entry));
        int memberCount = members.all().size();
        for (String node : memberQueue.nextBatch(options.maxEntriesPerMessage(), memberCount)) {
            members.find(node).ifPresent(entry -> entries.put(node, entry));
        }
        List<Announcement<R>> states = announcementQueue.nextBatch(options.maxEntriesPerMessage(), memberCount).stream()
                .map(announcements::get)
                .filter(java.util.Objects::nonNull)
                .toList();
        return new Updates<>(List.copyOf(entries.values()), states, configurationVersion);
    }

    synchronized Digest digest() {
        return new Digest(
                members.all().stream().map(Member::version).toList(),
                announcements.values().stream().map(Announcement::version).toList(),
                configurationVersion);
    }

    /** Compares a digest with the known entries. */
    synchronized SyncAnswer<A, R> answerDigest(Digest digest) {
        Map<String, MemberVersion> senderMembers =
                digest.members().stream().collect(Collectors.toMap(MemberVersion::node, version -> version));
        Map<String, AnnouncementVersion> senderStates = digest.announcements().stream()
                .collect(Collectors.toMap(AnnouncementVersion::subject, version -> version));
        List<Member<A>> newerMembers = members.all().stream()
                .filter(entry -> !senderMembers.containsKey(entry.node())
                        || entry.version().compareTo(senderMembers.get(entry.node())) > 0)
                .toList();
        List<Announcement<R>> newerStates = announcements.values().stream()
                .filter(state -> !senderStates.containsKey(state.subject())
                        || state.version().newerThan(senderStates.get(state.subject())))
                .toList();
        return new SyncAnswer<>(
                new Updates<>(newerMembers, newerStates, configurationVersion),
                wantedMembers(digest),
                wantedSubjects(digest));
    }

    /** Returns the members whose entries are newer in the digest; unknown dead members are not requested. */
    private List<String> wantedMembers(Digest digest) {
        return digest.members().stream()
                .filter(version -> members.find(version.node())
                        .map(existing -> version.compareTo(existing.version()) > 0)
                        .orElse(version.status() != MemberStatus.DEAD))
                .map(MemberVersion::node)
                .toList();
    }

    /** Returns the runners whose states are newer in the digest. */
    private List<String> wantedSubjects(Digest digest) {
        return digest.announcements().stream()
                .filter(version -> !announcements.containsKey(version.subject())
                        || version.newerThan(
                                announcements.get(version.subject()).version()))
                .map(AnnouncementVersion::subject)
                .toList();
    }

    /** Returns the entries of the given nodes and runners. */
    synchronized Updates<A, R> selectUpdates(Set<String> nodes, Set<String> subjects) {
        return new Updates<>(
                members.all().stream()
                        .filter(entry -> nodes.contains(entry.node()))
                        .toList(),
                announcements.values().stream()
                        .filter(state -> subjects.contains(state.subject()))
                        .toList(),
                configurationVersion);
    }
}
