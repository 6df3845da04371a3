package io.persimmonstack.coordination.grant;

import java.util.Objects;

/**
 * Identity of one process of a node.
 *
 * @param node name of the node
 * @param incarnation number of the process, higher with each start on the node
 */
public record NodeIdentity(String node, long incarnation) {
    /** Rejects a missing name. */
    public NodeIdentity {
        Objects.requireNonNull(node, "node");
    }

    /** Returns the identity of the given incarnation of a node. */
    public static NodeIdentity of(String node, long incarnation) {
        return new NodeIdentity(node, incarnation);
    }

    @Override
    public String toString() {
        return node + "#" + incarnation;
    }
}
