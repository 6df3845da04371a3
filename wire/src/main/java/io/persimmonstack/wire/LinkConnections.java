package io.persimmonstack.wire;

import io.persimmonstack.wire.LinkLimits.LinkRefusal;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Connections of a {@link ThriftServer} and the memory that they hold. Where either is exhausted, the connection that
 * has made no progress for longest is closed for the new one. Thread-safe.
 */
final class LinkConnections {
    /** Size up to which a connection may use all of the memory; larger ones cannot use the last quarter. */
    private static final int SMALL_BYTES = 64 * 1024;

    private static final int SMALL_SHARE_DIVISOR = 4;
    /** Age from which a frame or an answer gives way to others; those of a working peer take a few milliseconds. */
    private static final long MIN_EVICTED_AGE_MS = 100;

    private final LinkLimits limits;
    private final Set<LinkTransport> connections = new HashSet<>();
    private long usedBytes;
    private long largeBytes;

    LinkConnections(LinkLimits limits) {
        this.limits = limits;
    }

    /** Adds a connection, and returns false if there is no room for it since all others have calls in service. */
    synchronized boolean add(LinkTransport connection) {
        if (connections.size() >= limits.maxConnections()
                && !evictOldest(LinkTransport::isIdle, LinkRefusal.CONNECTIONS)
                && !evictOldest(LinkTransport::isTransferring, LinkRefusal.CONNECTIONS)) {
            limits.onRefusal().accept(LinkRefusal.CONNECTIONS);
            return false;
        }
        connections.add(connection);
        return true;
    }

    /** Removes a closed connection with the memory that it holds. */
    synchronized void remove(LinkTransport connection) {
        if (connections.remove(connection)) {
            change(connection.heldBytes(), 0);
            connection.setHeldBytes(0);
        }
    }

    /**
     * Changes the memory that a connection holds. More memory may be taken from connections that make no progress.
     *
     * @param connection an open connection
     * @param bytes memory that it holds from now on, in bytes
     * @param alone whether it may exceed the memory as long as no other connection holds any
     * @return false if there is no memory for it, or if it has been closed
     */
    synchronized boolean hold(LinkTransport connection, long bytes, boolean alone) {
        if (!connections.contains(connection)) {
            return false;
        }
        while (!fits(connection.heldBytes(), bytes, alone)) {
            Predicate<LinkTransport> evictable = other -> other != connection
                    && other.isTransferring()
                    && other.heldBytes() > 0
                    && other.ageMs() >= MIN_EVICTED_AGE_MS;
            if (!evictOldest(evictable, LinkRefusal.MEMORY)) {
                return false;
            }
        }
        change(connection.heldBytes(), bytes);
        connection.setHeldBytes(bytes);
        return true;
    }

    private boolean fits(long heldBytes, long bytes, boolean alone) {
        long otherBytes = usedBytes - heldBytes;
        long otherLargeBytes = largeBytes - largePart(heldBytes);
        long largeCapacity = limits.memoryBytes() - limits.memoryBytes() / SMALL_SHARE_DIVISOR;
        return bytes <= heldBytes
                || alone && otherBytes == 0
                || otherBytes + bytes <= limits.memoryBytes() && otherLargeBytes + largePart(bytes) <= largeCapacity;
    }

    private void change(long heldBytes, long bytes) {
        usedBytes += bytes - heldBytes;
        largeBytes += largePart(bytes) - largePart(heldBytes);
    }

    private static long largePart(long bytes) {
        return bytes > SMALL_BYTES ? bytes : 0;
    }

    private boolean evictOldest(Predicate<LinkTransport> evictable, LinkRefusal refusal) {
        Optional<LinkTransport> oldest =
                connections.stream().filter(evictable).max(Comparator.comparingLong(LinkTransport::ageMs));
        oldest.ifPresent(connection -> end(connection, refusal));
        return oldest.isPresent();
    }

    private void end(LinkTransport connection, LinkRefusal refusal) {
        limits.onRefusal().accept(refusal);
        connection.closeSocket();
        remove(connection);
    }

    /** Reports a refusal by a connection that then closes itself, unless it has been closed for another reason. */
    synchronized void refused(LinkTransport connection, LinkRefusal refusal) {
        if (connections.contains(connection)) {
            limits.onRefusal().accept(refusal);
        }
    }

    /** Closes the connections whose frame, answer or next call takes too long; called at short intervals. */
    synchronized void closeOverdue() {
        for (LinkTransport connection : Set.copyOf(connections)) {
            Optional<LinkRefusal> overdue = connection.overdue();
            if (overdue.isPresent()) {
                end(connection, overdue.get());
            } else if (connection.isIdleForTooLong()) {
                connection.closeSocket();
                remove(connection);
            }
        }
    }
}
