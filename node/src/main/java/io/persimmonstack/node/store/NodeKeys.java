package io.persimmonstack.node.store;

/** Keys that the nodes keep in the key-value service. */
public final class NodeKeys {
    /** Beginning of all keys. */
    public static final String PREFIX = "persimmon/";
    /** Key of the leader. */
    public static final String LEADER = PREFIX + "leader";

    private NodeKeys() {}

    /** Returns the key of a node. */
    public static String node(String name) {
        return PREFIX + "nodes/" + name;
    }
}
