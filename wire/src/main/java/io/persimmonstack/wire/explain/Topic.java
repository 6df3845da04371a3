package io.persimmonstack.wire.explain;

import java.util.Arrays;
import java.util.Optional;

/** Topic of a line in the explanation of a model or runner. Its text is the attribute of the line on the wire. */
public enum Topic {
    /** Deployment through which callers may use the model. */
    DEPLOYMENT("deployment", Scope.FLEET),
    /** Whether the model is cold, loading or loaded, and where. */
    STATE("state", Scope.FLEET),
    /** For a model, the runners that hold its slots and its replica cap; for a runner, its slots. */
    SLOTS("slots", Scope.FLEET),
    /** Outcome of a load request for the model if it were made now. */
    IF_ASKED_NOW("if asked now", Scope.FLEET),
    /** Time of the last load request from a router. */
    ASKED("last asked", Scope.NODE),
    /** Time and reason of the last refused load. */
    REFUSED("last refused", Scope.NODE),
    /** Time, runner and reason of the last unload. */
    UNLOADED("last unloaded", Scope.NODE),
    /** Coordinator that owns the runner. */
    OWNER("owner", Scope.FLEET),
    /** Time since which the owner has owned the runner. */
    OWNED_SINCE("owned since", Scope.NODE),
    /** Reason why the node that should own the runner could not acquire it. */
    NOT_ACQUIRED("not acquired", Scope.NODE),
    /** Fencing token of the runner's owner. */
    EPOCH("epoch", Scope.FLEET),
    /** Whether the runner takes no new work. */
    LEAVING("leaving", Scope.FLEET),
    /** Whether the runner's engine refuses orders with an outdated fencing token. */
    FENCING("fencing", Scope.FLEET),
    /** Used and total accelerator memory of the runner. */
    MEMORY("memory", Scope.FLEET),
    /** Models on the runner. */
    MODELS("models", Scope.FLEET);

    /** Value of {@link #STATE} where the model is neither loaded nor loading anywhere. */
    public static final String COLD = "cold";

    /** Whether all nodes know the value, or each node knows only its own. */
    private enum Scope {
        FLEET,
        NODE
    }

    private final String text;
    private final Scope scope;

    Topic(String text, Scope scope) {
        this.text = text;
        this.scope = scope;
    }

    /** Returns the attribute of the line on the wire. */
    public String text() {
        return text;
    }

    /** Returns whether each node knows only its own value, so that all nodes must be queried. */
    public boolean isNodeLocal() {
        return scope == Scope.NODE;
    }

    /** Returns the topic with the given attribute, or empty if the attribute is unknown. */
    public static Optional<Topic> parse(String text) {
        return Arrays.stream(values()).filter(topic -> topic.text.equals(text)).findFirst();
    }
}
