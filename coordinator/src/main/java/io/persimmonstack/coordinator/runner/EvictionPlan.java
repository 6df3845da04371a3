package io.persimmonstack.coordinator.runner;

import io.persimmonstack.backends.engine.EngineModel;
import io.persimmonstack.backends.engine.ModelState;
import io.persimmonstack.coordinator.load.LoadKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Models to unload so that a demanded one fits, the least worth keeping first.
 *
 * @param victims models to unload
 * @param suffices whether the demanded model fits afterwards
 * @param reason why it does not
 */
record EvictionPlan(List<LoadKey> victims, boolean suffices, String reason) {
    private static final long MIN_IDLE_MS = 2_000;

    static EvictionPlan of(EngineBook book, ModelUses uses, long needed, DemandQueue demands) {
        long free = book.freeBytes();
        List<LoadKey> victims = new ArrayList<>();
        for (EngineModel model : candidates(book, uses, demands)) {
            if (free >= needed) {
                break;
            }
            victims.add(key(model));
            free += model.memoryBytes();
        }
        boolean suffices = free >= needed;
        String reason = "room for " + free + " bytes with idle models unloaded; needed " + needed;
        return new EvictionPlan(victims, suffices, reason);
    }

    private static List<EngineModel> candidates(EngineBook book, ModelUses uses, DemandQueue demands) {
        return book.state().orElseThrow().models().stream()
                .filter(model -> model.state() == ModelState.LOADED)
                .filter(model -> !demands.wants(model.version()))
                .filter(model -> book.isUnloading(key(model)) || idleMs(uses, model) >= MIN_IDLE_MS)
                .sorted(Comparator.comparing((EngineModel model) -> !book.isUnloading(key(model)))
                        .thenComparingDouble(model -> uses.retentionValue(key(model)))
                        .thenComparing(Comparator.comparingLong((EngineModel model) -> idleMs(uses, model))
                                .reversed()))
                .toList();
    }

    /** Returns the idle time of the model and of the adapter on it that was used last. */
    private static long idleMs(ModelUses uses, EngineModel model) {
        long idle = uses.idleMs(key(model));
        for (String adapter : model.adapters()) {
            idle = Math.min(idle, uses.idleMs(new LoadKey(model.version(), Optional.of(adapter))));
        }
        return idle;
    }

    private static LoadKey key(EngineModel model) {
        return new LoadKey(model.version(), Optional.empty());
    }
}
