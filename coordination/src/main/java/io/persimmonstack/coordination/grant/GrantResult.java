package io.persimmonstack.coordination.grant;

/** Outcome of a request for a slot. */
public sealed interface GrantResult {
    /**
     * The runner holds the slot.
     *
     * @param runner the runner with its slots
     */
    record Granted(OwnedRunner runner) implements GrantResult {}

    /**
     * All slots of the model are taken.
     *
     * @param record the record with the holders of the slots; the owners of their runners may be asked to give one back
     */
    record CapReached(ModelRecord record) implements GrantResult {}

    /**
     * The cap in the model record is from a newer configuration than the caller's.
     *
     * @param record the record, with the version of the newer configuration
     */
    record StaleConfiguration(ModelRecord record) implements GrantResult {}

    /**
     * This process does not own the runner, or may not send it orders yet.
     *
     * @param reason which of the two, with the phase of the runner
     */
    record NotOwner(String reason) implements GrantResult {}
}
