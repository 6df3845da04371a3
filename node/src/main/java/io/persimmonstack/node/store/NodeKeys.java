package io.persimmonstack.node.store;

/** Keys that nodes write to the key-value store. */
public final class NodeKeys {
    /** Prefix of all keys that nodes write. */
    public static final String PREFIX = "persimmon/";
    /** Key that the elected leader holds under its lease. */
    public static final String LEADER = PREFIX + "leader";

    private NodeKeys() {}

    /** Returns the key under which the named node registers. */
    public static String node(String name) {
        return PREFIX + "nodes/" + name;
    }
}
