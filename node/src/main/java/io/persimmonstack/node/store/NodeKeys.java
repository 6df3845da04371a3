package io.persimmonstack.node.store;

/** Keys that nodes write to the key-value store. */
public final class NodeKeys {
    /** Prefix of the keys that nodes hold under their leases. */
    public static final String PREFIX = "persimmon/";
    /** Key that the elected leader holds under its lease. */
    public static final String LEADER = PREFIX + "leader";

    /** Prefix of the reports of the nodes about runners that ended. */
    public static final String CRASH_REPORTS = "persimmon-crashes/";

    /** Prefix of what the nodes leave about their streams. */
    public static final String STREAMS = "persimmon-streams/";

    /** Key of the table of slots of usage caps; under no lease, since it tells a new leader who may hold a slot. */
    public static final String CAP_SLOTS = "persimmon-caps/slots";

    private NodeKeys() {}

    /** Returns the key under which the named node registers. */
    public static String node(String name) {
        return PREFIX + "nodes/" + name;
    }

    /** Returns the key of the named node's report about runners that ended. */
    public static String crashReport(String name) {
        return CRASH_REPORTS + name;
    }

    /** Returns the key of what the named node leaves about its streams. */
    public static String streams(String name) {
        return STREAMS + name;
    }

    /** Returns the name of the node whose streams a key is about. */
    public static String nodeOfStreams(String key) {
        return key.substring(STREAMS.length());
    }
}
