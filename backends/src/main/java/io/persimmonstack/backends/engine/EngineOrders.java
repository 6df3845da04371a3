package io.persimmonstack.backends.engine;

import io.persimmonstack.wire.PeerAddress;

/**
 * Orders to model engines and their state.
 *
 * <pre>{@code
 * switch (orders.load(engine, LoadOrder.ofBase(model, fence, CheckpointPlace.DISK))) {
 *     case LoadOutcome.Loaded loaded -> serve(model);
 *     case LoadOutcome.Unknown unknown -> settleByState(engine, model);
 *     ...
 * }
 * }</pre>
 */
public interface EngineOrders {
    /**
     * Orders a load.
     *
     * @param engine address of the engine
     * @param order what to load
     * @return how the engine took it
     */
    LoadOutcome load(PeerAddress engine, LoadOrder order);

    /**
     * Orders an unload and waits until the requests in progress are finished.
     *
     * @param engine address of the engine
     * @param order what to unload
     * @return how the engine took it
     */
    UnloadOutcome unload(PeerAddress engine, UnloadOrder order);

    /**
     * Reads the state of an engine.
     *
     * @param engine address of the engine
     * @return its state
     * @throws EngineException if the engine gave no usable answer
     */
    EngineState state(PeerAddress engine) throws EngineException;
}
