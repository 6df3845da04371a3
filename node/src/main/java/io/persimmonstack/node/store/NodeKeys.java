package io.persimmonstack.node.store;

/** Keys that nodes write to the key-value store. */
public final class NodeKeys {
    /** Prefix of the keys that nodes hold under their leases. */
    public static final String PREFIX = "persimmon/";
    /** Key that the elected leader holds under its lease. */
    public static final String LEADER = PREFIX + "leader";

    /** Prefix of the reports of the nodes about runners that ended. */
    public static final String CRASH_REPORTS = "persimmon-crashes/";

    private NodeKeys() {}

    /** Returns the key under which the named node registers. */
    public static String node(String name) {
        return PREFIX + "nodes/" + name;
    }

    /** Returns the key of the named node's report about runners that ended. */
    public static String crashReport(String name) {
        return CRASH_REPORTS + name;
    }
}
