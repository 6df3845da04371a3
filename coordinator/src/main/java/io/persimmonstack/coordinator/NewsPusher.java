package io.persimmonstack.coordinator;

import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.concurrent.atomic.AtomicBoolean;

/** Tells a few members of a change at once; each of them tells a few others, so that news need no probe round. */
final class NewsPusher {
    private static final int RECEIVERS = 3;
    private static final long GATHER_MS = 20;
    private final Membership<NodeAttributes, RunnerStatus> membership;
    private final AtomicBoolean scheduled = new AtomicBoolean();

    NewsPusher(Membership<NodeAttributes, RunnerStatus> membership) {
        this.membership = membership;
    }

    /** Schedules one message to each of a few members, with all that changes until it is sent. */
    void push() {
        if (scheduled.compareAndSet(false, true)) {
            Thread.ofVirtual().name("news").start(this::spread);
        }
    }

    private void spread() {
        try {
            Thread.sleep(GATHER_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        scheduled.set(false);
        membership.disseminate(RECEIVERS);
    }
}
