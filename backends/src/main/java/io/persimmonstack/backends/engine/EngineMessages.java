package io.persimmonstack.backends.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** JSON bodies of the engines' HTTP protocol. The component names are the field names on the wire. */
final class EngineMessages {
    private EngineMessages() {}

    /** Body of an order to load or unload; {@code source} is null for an unload. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record OrderBody(String model, String version, String adapter, long fence, String source) {
        static OrderBody of(LoadOrder order) {
            return new OrderBody(
                    order.base().model(),
                    order.base().version(),
                    order.adapter().orElse(null),
                    order.fence(),
                    order.source().name().toLowerCase(Locale.ROOT));
        }

        static OrderBody of(UnloadOrder order) {
            return new OrderBody(
                    order.base().model(),
                    order.base().version(),
                    order.adapter().orElse(null),
                    order.fence(),
                    null);
        }
    }

    /**
     * Body of a 409 response; with the code "fenced" it carries the highest fencing token that the engine has seen.
     */
    record FencedBody(String code, Long fence) {
        boolean isFenced() {
            return "fenced".equals(code) && fence != null;
        }
    }

    /** State of an engine. */
    record StateBody(
            String runner,
            long memoryBytes,
            long usedBytes,
            int maxConcurrent,
            int inFlight,
            int queued,
            boolean fencing,
            long fence,
            boolean leaving,
            List<ModelBody> models,
            List<CachedBody> cached,
            String softwareVersion) {
        EngineState toState() {
            return new EngineState(
                    runner,
                    memoryBytes,
                    usedBytes,
                    maxConcurrent,
                    inFlight,
                    queued,
                    fencing,
                    fence,
                    leaving,
                    models.stream().map(ModelBody::toModel).toList(),
                    cached == null
                            ? List.of()
                            : cached.stream().map(CachedBody::toCheckpoint).toList(),
                    Optional.ofNullable(softwareVersion).filter(version -> !version.isBlank()));
        }
    }

    /** Base model that takes memory on an engine. */
    record ModelBody(
            String model,
            String version,
            String state,
            long memoryBytes,
            List<String> adapters,
            long readyInMs,
            String failure) {
        private EngineModel toModel() {
            return new EngineModel(
                    ModelVersion.of(model, version),
                    ModelState.valueOf(state.toUpperCase(Locale.ROOT)),
                    memoryBytes,
                    adapters == null ? List.of() : adapters,
                    readyInMs,
                    Optional.ofNullable(failure));
        }
    }

    /** Checkpoint cached on the engine's host. */
    record CachedBody(String model, String version, String place) {
        private CachedCheckpoint toCheckpoint() {
            return new CachedCheckpoint(
                    ModelVersion.of(model, version), CheckpointPlace.valueOf(place.toUpperCase(Locale.ROOT)));
        }
    }
}
