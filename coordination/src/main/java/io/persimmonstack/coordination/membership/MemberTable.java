package io.persimmonstack.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** All members known, with the time since when each is suspected or dead. Not thread-safe. */
final class MemberTable<A> {
    private record Row<A>(Member<A> member, long updatedNanos) {}

    private final Map<String, Row<A>> rows = new HashMap<>();

    Optional<Member<A>> find(String node) {
        return Optional.ofNullable(rows.get(node)).map(Row::member);
    }

    Collection<Member<A>> all() {
        return rows.values().stream().map(Row::member).toList();
    }

    /** Takes an entry in if it supersedes what is known; returns whether it did. */
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

    /** Declares suspects dead whose time to refute is over; returns the new entries. */
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

    /** Forgets members that have been dead for the given time; returns their names. */
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
