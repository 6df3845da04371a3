package io.persimmonstack.coordinator;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Log events of the coordinator, with their number, level and message template. */
public enum CoordinatorEvent implements Event {
    /** The node joined the fleet; the last number is how many of the contacted members answered. */
    JOINED(3001, Level.INFO, "node {} incarnation {} joined, {} members answered"),
    /** The status of a member changed. */
    MEMBER_STATUS(3002, Level.INFO, "member {} incarnation {}: {}"),
    /** A newer process runs under the same node name, so this process sends no more orders to engines. */
    SUPERSEDED(3003, Level.ERROR, "node {} incarnation {} is superseded by incarnation {}"),
    /** A new configuration version took effect on this node. */
    CONFIGURATION_IN_FORCE(3010, Level.INFO, "configuration {} in force"),
    /** A received configuration cannot be decoded; the previous one stays active. */
    CONFIGURATION_UNREADABLE(3011, Level.ERROR, "configuration {} cannot be used: {}"),
    /** The configuration could not be read from the key-value store or fetched from a peer. */
    CONFIGURATION_READ_FAILED(3012, Level.WARN, "configuration cannot be read: {}"),
    /** This node acquired the ownership of a runner. */
    RUNNER_ACQUIRED(3020, Level.INFO, "runner {} acquired at epoch {} by {}"),
    /** A runner that this node should own cannot be acquired yet. */
    RUNNER_NOT_ACQUIRED(3021, Level.WARN, "runner {} not acquired: {}"),
    /** This node handed a runner over to another owner. */
    RUNNER_HANDED_OVER(3022, Level.INFO, "runner {} handed over at epoch {}"),
    /** This node lost the ownership of a runner without handing it over. */
    RUNNER_LOST(3023, Level.WARN, "runner {} lost: {}"),
    /** The engine of an owned runner did not answer. */
    ENGINE_FAILED(3024, Level.WARN, "runner {}: engine gave no answer: {}"),
    /** The engine of a runner was ordered to load a model. */
    LOAD_ORDERED(3030, Level.INFO, "runner {}: load of {} ordered from {}"),
    /** A load order was rejected by the engine, not sent, or got no answer. */
    LOAD_FAILED(3031, Level.WARN, "runner {}: load of {} failed: {}"),
    /** A model was unloaded from a runner. */
    UNLOADED(3032, Level.INFO, "runner {}: {} unloaded, {}"),
    /** An unload order failed or got no answer. */
    UNLOAD_FAILED(3033, Level.WARN, "runner {}: unload of {} failed: {}"),
    /** A request to load a model was refused. */
    LOAD_REFUSED(3034, Level.WARN, "load of {} refused: {}, {}"),
    /** A runner was granted a slot, the right to load a model version. */
    SLOT_GRANTED(3035, Level.INFO, "runner {}: slot of {} granted"),
    /** A runner gave a slot back; the detail is the reason, or {@code refused} if it still holds the slot. */
    SLOT_GIVEN_BACK(3036, Level.INFO, "runner {}: slot of {} given back, {}"),
    /** Grants in the key-value store could not be read, or a change of them failed or got no answer. */
    GRANTS_FAILED(3037, Level.WARN, "runner {}: {} failed: {}"),
    /** The epoch of an owned runner was raised to fence off an order whose outcome is unknown. */
    RUNNER_REFENCED(3038, Level.WARN, "runner {}: epoch raised because an order got no answer: {}"),
    /** A preload was ordered; the model stays loaded without requests for the given time. */
    LOADED_AHEAD(3039, Level.INFO, "{} loaded ahead of demand on runner {}, held for {} ms"),
    /** The host list could not be read; the previous one stays in use. */
    HOST_LIST_FAILED(3040, Level.WARN, "host list cannot be read: {}"),
    /** The catalogue of the weight store could not be read; the previous one stays in use. */
    CATALOGUE_FAILED(3041, Level.WARN, "catalogue of the weight store cannot be read: {}"),
    /** Demand statistics received from another node are malformed. */
    STATISTICS_UNREADABLE(3042, Level.WARN, "statistics of the demand for {} cannot be read: {}"),
    /** A gone runner was taken over from an owner that cannot act; the detail is whether its slots were given back. */
    GONE_RUNNER_CLEARED(3044, Level.INFO, "runner {} is gone, its slots: {}"),
    /** A reported use of a model names the model in a malformed way; it is skipped. */
    USE_UNREADABLE(3045, Level.WARN, "reported use of {} cannot be read: {}"),
    /** A periodic task threw an exception; it runs again after its interval. */
    TASK_FAILED(3050, Level.ERROR, "task {} failed: {}");

    private final EventDefinition definition;

    CoordinatorEvent(int number, Level level, String message) {
        this.definition = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
