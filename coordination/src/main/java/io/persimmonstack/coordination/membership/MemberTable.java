package io.persimmonstack.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** All known members, each with the time of its last update. Not thread-safe. */
final class MemberTable<A> {
    /** Entry of a member and the monotonic time at which it was merged. */
    private record Row<A>(Member<A> member, long updatedNanos) {}

    private final Map<String, Row<A>> rows = new HashMap<>();

    Optional<Member<A>> find(String node) {
        return Optional.ofNullable(rows.get(node)).map(Row::member);
    }

    Collection<Member<A>> all() {
        return rows.values().stream().map(Row::member).toList();
    }

    /**
     * Merges an entry if it supersedes the known one. Ignores a dead member that is not known, so that a removed member
     * does not come back.
     *
     * @return whether the entry was merged
     */
    boolean merge(Member<A> entry, long nowNanos) {
        Row<A> existing = rows.get(entry.node());
        if (existing != null && !entry.supersedes(existing.member())) {
            return false;
        }
        if (existing == null && entry.status() == MemberStatus.DEAD) {
            return false;
        }
        rows.put(entry.node(), new Row<>(entry, nowNanos));
        return true;
    }

    /** Declares members dead that have been suspected for the timeout, and returns their new entries. */
    List<Member<A>> expireSuspects(long nowNanos, long timeoutNanos) {
        List<Member<A>> dead = new ArrayList<>();
        for (Row<A> row : rows.values()) {
            if (row.member().status() == MemberStatus.SUSPECT && nowNanos - row.updatedNanos() >= timeoutNanos) {
                dead.add(row.member().withStatus(MemberStatus.DEAD));
            }
        }
        dead.forEach(entry -> merge(entry, nowNanos));
        return dead;
    }

    /** Removes members that have been dead for the timeout, and returns their names. */
    List<String> removeDead(long nowNanos, long timeoutNanos) {
        List<String> removed = rows.values().stream()
                .filter(row -> row.member().status() == MemberStatus.DEAD)
                .filter(row -> nowNanos - row.updatedNanos() >= timeoutNanos)
                .map(row -> row.member().node())
                .toList();
        removed.forEach(rows::remove);
        return removed;
    }
}
