package io.persimmonstack.backends.engine;

import io.persimmonstack.wire.PeerAddress;

/**
 * Orders model engines to load and unload models and reads their state. Orders carry a fencing token, so that an engine
 * can refuse those of a former owner.
 *
 * <pre>{@code
 * switch (orders.load(engine, LoadOrder.ofBase(model, fence, CheckpointPlace.DISK))) {
 *     case LoadOutcome.Loaded loaded -> serve(model);
 *     case LoadOutcome.Unknown unknown -> resolveFromState(engine, model);
 *     ...
 * }
 * }</pre>
 */
public interface EngineOrders {
    /**
     * Orders an engine to load a model or an adapter. The load may still be in progress when this method returns.
     *
     * @param engine address of the engine
     * @param order what to load
     * @return how the engine responded, or how the call failed
     */
    LoadOutcome load(PeerAddress engine, LoadOrder order);

    /**
     * Orders an engine to unload a model or an adapter and waits until the requests in progress have finished.
     *
     * @param engine address of the engine
     * @param order what to unload
     * @return how the engine responded, or how the call failed
     */
    UnloadOutcome unload(PeerAddress engine, UnloadOrder order);

    /**
     * Reads the state of an engine.
     *
     * @param engine address of the engine
     * @return the state
     * @throws EngineException if the engine returned no usable response
     */
    EngineState state(PeerAddress engine) throws EngineException;
}
