package io.persimmonstack.coordination.grant;

/** Keys of the grant records in the key-value service. */
public final class GrantKeys {
    /** Prefix of all model records. */
    public static final String MODEL_PREFIX = "/persimmon/model/";

    /** Prefix of all runner records. */
    public static final String RUNNER_PREFIX = "/persimmon/runner/";

    private GrantKeys() {}

    /** Returns the key of a model's record. */
    public static String model(String model) {
        return MODEL_PREFIX + model;
    }

    /** Returns the key of a runner's record. */
    public static String runner(String runner) {
        return RUNNER_PREFIX + runner;
    }
}
