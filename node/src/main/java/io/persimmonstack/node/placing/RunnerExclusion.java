package io.persimmonstack.node.placing;

import java.util.Locale;

/** Why a runner is not used for a new request. */
public enum RunnerExclusion {
    /** It is shutting down. */
    LEAVING,
    /** It asked for a pause. */
    PAUSED,
    /** It was full, could not be reached or was replaced by another process a moment ago. */
    AVOIDED,
    /** Its software version may not take the request. */
    VERSION,
    /** The request may already have run there. */
    TRIED,
    /** It does not hold the model. */
    MODEL,
    /** It has no free slot. */
    SLOTS,
    /** Its cache has no room for the request. */
    MEMORY,
    /** Its cache has little room, which must be claimed through the leader before the request is sent. */
    MEMORY_TO_CLAIM,
    /** The request does not leave for the zone of the runner. */
    ZONE;

    /** Returns the name of the reason in answers. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
