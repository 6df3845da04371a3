package io.persimmonstack.node.streams;

import java.util.Optional;
import java.util.Set;

/** Software versions of all services as the store knows them now, also while this node lags behind it. */
@FunctionalInterface
public interface CurrentVersions {
    /**
     * Returns the versions that have runners, or had some lately. What it returns was read after it was called.
     *
     * @return the versions; empty if the store has not answered in time
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    Optional<Set<StreamOrigin>> read() throws InterruptedException;
}
