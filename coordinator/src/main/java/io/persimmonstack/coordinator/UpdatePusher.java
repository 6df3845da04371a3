package io.persimmonstack.coordinator;

import io.persimmonstack.coordination.membership.Membership;
import io.persimmonstack.coordinator.gossip.NodeAttributes;
import io.persimmonstack.wire.gen.RunnerStatus;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Pushes membership changes to a few members without waiting for the next probe round. Each recipient pushes them on in
 * the same way.
 */
final class UpdatePusher {
    private static final int RECIPIENTS_PER_BATCH = 3;
    private static final long BATCH_DELAY_MS = 20;
    private final Membership<NodeAttributes, RunnerStatus> membership;
    private final AtomicBoolean scheduled = new AtomicBoolean();

    UpdatePusher(Membership<NodeAttributes, RunnerStatus> membership) {
        this.membership = membership;
    }

    /** Schedules a push that includes all changes made until it is sent; does nothing if one is already scheduled. */
    void push() {
        if (scheduled.compareAndSet(false, true)) {
            Thread.ofVirtual().name("news").start(this::sendBatch);
        }
    }

    private void sendBatch() {
        try {
            Thread.sleep(BATCH_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        scheduled.set(false);
        membership.disseminate(RECIPIENTS_PER_BATCH);
    }
}
