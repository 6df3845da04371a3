package io.persimmonstack.standin.fault;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Fault that a stand-in can simulate; each stand-in supports some of them. */
public enum FaultType {
    /** Connections are closed without a response; the weight store also pauses its transfers. */
    DOWN,
    /** Responses, or transfers from the weight store, take longer. */
    SLOW,
    /** Writes and calls take effect, but the connection is closed without a response. */
    LOSE_REPLIES,
    /** Watches stay open but deliver nothing, not even progress notifications. */
    SILENT_WATCHES,
    /** The host list is out of date by {@link FaultOrder#ms} milliseconds. */
    LAG,
    /**
     * Connections already in use when the fault is set carry no further responses, also after the fault is cleared.
     * Only fault commands and {@code GET /ledger} are still answered on them.
     */
    SILENT,
    /** Loads fail. */
    CRASH_LOADS,
    /** Loads of this engine take longer. */
    SLOW_LOADS,
    /** The engine loses its loaded models and its highest fencing token, and closes the connection of every request. */
    DIE,
    /** A request gets the response of the request before it. */
    CROSS_ANSWERS,
    /** Responses start later by {@link FaultOrder#delayMs} milliseconds. */
    LATE_ANSWERS,
    /** Responses are cut off after half of their tokens. */
    RESET_MIDWAY;

    /** Returns the wire name of the fault, such as {@code lose-replies}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the fault with the given wire name, or empty if there is none. */
    public static Optional<FaultType> parse(String wireName) {
        return Arrays.stream(values())
                .filter(fault -> fault.wireName().equals(wireName))
                .findFirst();
    }
}
