package io.persimmonstack.coordination.grant;

/** Outcome of an attempt to become the owner of a runner. */
public sealed interface AcquireResult {
    /**
     * This process owns the runner and has adopted its slots. In phase FENCING the caller has to send the first order
     * with the new epoch next, then call {@link RunnerGrants#confirmFenced}.
     *
     * @param runner the acquired runner
     */
    record Acquired(OwnedRunner runner) implements AcquireResult {}

    /**
     * Another process owns the runner and the evidence does not allow a takeover.
     *
     * @param current the record that was found
     * @param reason why the evidence is not sufficient
     */
    record Refused(RunnerRecord current, String reason) implements AcquireResult {}

    /**
     * Another process acquired the runner at the same time.
     *
     * @param current the record that was found
     */
    record Lost(RunnerRecord current) implements AcquireResult {}
}
