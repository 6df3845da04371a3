package io.persimmonstack.node.placing;

import java.util.Locale;

/** Why a request is sent to a runner in this or another availability zone. */
public enum ZoneCause {
    /** The runner is in the zone of the node. */
    HOME,
    /** The zone of the node has too few places. */
    LOAD,
    /** The runner in the other zone probably caches the prompt. */
    PROMPT,
    /** Only runners in other zones can serve the request. */
    ONLY;

    /** Returns the last part of the metric's name. */
    public String metric() {
        return this == HOME ? "home" : "away." + name().toLowerCase(Locale.ROOT);
    }
}
