package io.persimmonstack.standin.fault;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Fault that a stand-in can bring about. */
public enum FaultType {
    /** Connections are closed without an answer. */
    DOWN,
    /** Answers take longer. */
    SLOW,
    /** Writes and calls take effect and their connection closes without an answer. */
    LOSE_REPLIES,
    /** Watches stay open and report nothing. */
    SILENT_WATCHES,
    /** The list is as old as the given time. */
    LAG,
    /** Connections open at that moment stop moving for good. */
    SILENT,
    /** Loads end in failure. */
    CRASH_LOADS,
    /** Loads take longer. */
    SLOW_LOADS,
    /** The engine loses all it holds and answers nothing more. */
    DIE,
    /** Two requests get each other's answer. */
    CROSS_ANSWERS,
    /** Answers take longer to begin. */
    LATE_ANSWERS,
    /** Streams are cut in the middle. */
    RESET_MIDWAY;

    /** Returns the name on the wire, such as {@code lose-replies}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the fault with the given name on the wire. */
    public static Optional<FaultType> parse(String wireName) {
        return Arrays.stream(values())
                .filter(fault -> fault.wireName().equals(wireName))
                .findFirst();
    }
}
