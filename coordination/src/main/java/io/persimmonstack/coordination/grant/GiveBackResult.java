package io.persimmonstack.coordination.grant;

/** Outcome of giving a slot back. */
public sealed interface GiveBackResult {
    /**
     * The slot no longer counts against the cap and may be granted to other runners.
     *
     * @param runner the runner with its remaining slots
     */
    record GivenBack(OwnedRunner runner) implements GiveBackResult {}

    /**
     * This process does not own the runner, or may not send it orders yet.
     *
     * @param reason which of the two, with the phase of the runner
     */
    record NotOwner(String reason) implements GiveBackResult {}
}
