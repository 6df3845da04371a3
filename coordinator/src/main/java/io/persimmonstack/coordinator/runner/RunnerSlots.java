package io.persimmonstack.coordinator.runner;

import io.persimmonstack.coordination.grant.AcquireResult;
import io.persimmonstack.coordination.grant.GiveBackResult;
import io.persimmonstack.coordination.grant.GrantResult;
import io.persimmonstack.coordination.grant.HandOverResult;
import io.persimmonstack.coordination.grant.OwnedRunner;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.coordinator.CoordinatorEvent;
import io.persimmonstack.coordinator.load.LoadAnswers;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.gen.LoadAnswer;
import io.persimmonstack.wire.gen.LoadResult;
import java.util.Optional;

/** Slots and ownership of one runner; turns failures of the key-value store into log entries and refusals. */
final class RunnerSlots {
    private static final EventLog LOG = EventLog.of(RunnerSlots.class);
    private final RunnerAgentContext context;
    private final String runner;

    RunnerSlots(RunnerAgentContext context, String runner) {
        this.context = context;
        this.runner = runner;
    }

    /** Returns the runner's slots, epoch and phase, or empty if this process does not own it. */
    Optional<OwnedRunner> owned() {
        return context.grants().owned(runner);
    }

    /** Grants the runner a slot unless it has it; returns the refusal, or empty if the runner has the slot. */
    Optional<LoadAnswer> ensureGranted(OwnedRunner owned, ModelVersion model) {
        if (owned.slots().contains(model)) {
            return Optional.empty();
        }
        try {
            return switch (context.grants().grant(runner, model, context.caps().cap(model.model()))) {
                case GrantResult.Granted granted -> {
                    LOG.write(CoordinatorEvent.SLOT_GRANTED, runner, model);
                    yield Optional.empty();
                }
                case GrantResult.CapReached reached ->
                    refusal(LoadResult.REFUSED_CAP, "slots: " + reached.record().entries());
                case GrantResult.StaleConfiguration stale ->
                    refusal(LoadResult.REFUSED_CAP, "a newer configuration is not in force here yet");
                case GrantResult.NotOwner lost -> refusal(LoadResult.REFUSED_OWNER, lost.reason());
            };
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.GRANTS_FAILED, runner, "grant of " + model, e.getMessage());
            return refusal(LoadResult.REFUSED_KV, e.getMessage());
        }
    }

    private Optional<LoadAnswer> refusal(LoadResult result, String reason) {
        return Optional.of(LoadAnswers.refusal(result, runner, reason));
    }

    /** Gives back a slot whose model is confirmed to be unloaded; returns whether it was given back. */
    boolean giveBack(ModelVersion slot, String reason) {
        try {
            boolean givenBack = context.grants().giveBack(runner, slot) instanceof GiveBackResult.GivenBack;
            LOG.write(CoordinatorEvent.SLOT_GIVEN_BACK, runner, slot, givenBack ? reason : "refused");
            return givenBack;
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.GRANTS_FAILED, runner, "return of " + slot, e.getMessage());
            return false;
        }
    }

    /** Hands the runner over, with no order in flight; returns the reason for a refusal, or empty if it succeeded. */
    Optional<String> handOver() {
        try {
            if (context.grants().handOver(runner) instanceof HandOverResult.HandedOver handed) {
                LOG.write(CoordinatorEvent.RUNNER_HANDED_OVER, runner, handed.epoch());
                return Optional.empty();
            }
            return Optional.of("not the owner");
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.GRANTS_FAILED, runner, "hand-over", e.getMessage());
            return Optional.of(e.getMessage());
        }
    }

    /** Raises the epoch, so that the engine, once fenced, refuses an earlier order that got no answer. */
    void refence() {
        try {
            AcquireResult result = context.grants().refence(runner);
            LOG.write(CoordinatorEvent.RUNNER_REFENCED, runner, result);
        } catch (KvException e) {
            LOG.write(CoordinatorEvent.GRANTS_FAILED, runner, "raising the epoch", e.getMessage());
        }
    }
}
