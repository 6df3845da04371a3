package io.persimmonstack.wire.explain;

import java.util.Arrays;
import java.util.Optional;

/** What a line of an explanation is about; its text is the line's attribute on the wire. */
public enum Topic {
    /** A deployment that serves the model. */
    DEPLOYMENT("deployment", Scope.FLEET),
    /** Whether the model is cold, loading or loaded, and where. */
    STATE("state", Scope.FLEET),
    /** The runners that hold a slot of the model, and the cap. */
    SLOTS("slots", Scope.FLEET),
    /** What a demand for the model would meet now. */
    IF_ASKED_NOW("if asked now", Scope.FLEET),
    /** When a router last asked for the model. */
    ASKED("last asked", Scope.NODE),
    /** When a load was last refused, and why. */
    REFUSED("last refused", Scope.NODE),
    /** When the model was last unloaded, where and why. */
    UNLOADED("last unloaded", Scope.NODE),
    /** The owner of a runner. */
    OWNER("owner", Scope.FLEET),
    /** Since when the owner has owned the runner. */
    OWNED_SINCE("owned since", Scope.NODE),
    /** Why a node that should own a runner could not take it. */
    NOT_ACQUIRED("not acquired", Scope.NODE),
    /** The fencing number of the runner's owner. */
    EPOCH("epoch", Scope.FLEET),
    /** Whether the runner takes no new work. */
    LEAVING("leaving", Scope.FLEET),
    /** Whether the runner's engine refuses orders with an old fencing number. */
    FENCING("fencing", Scope.FLEET),
    /** Accelerator memory of the runner. */
    MEMORY("memory", Scope.FLEET),
    /** Models of the runner. */
    MODELS("models", Scope.FLEET);

    /** Value of {@link #STATE} where the model is neither loaded nor loading anywhere. */
    public static final String COLD = "cold";

    /** Who knows the value: every node, or the answering one alone. */
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

    /** Returns the attribute on the wire. */
    public String text() {
        return text;
    }

    /** Returns whether only the node that answers knows the value, so that every node has to be asked. */
    public boolean isNodeLocal() {
        return scope == Scope.NODE;
    }

    /** Returns the topic with the given attribute on the wire. */
    public static Optional<Topic> parse(String text) {
        return Arrays.stream(values()).filter(topic -> topic.text.equals(text)).findFirst();
    }
}
