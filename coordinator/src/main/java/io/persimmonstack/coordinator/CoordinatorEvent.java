package io.persimmonstack.coordinator;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Events of the coordinator. */
public enum CoordinatorEvent implements Event {
    /** The node has joined the members that it found. */
    JOINED(3001, Level.INFO, "node {} incarnation {} joined, {} members answered"),
    /** A member's status changed. */
    MEMBER_STATUS(3002, Level.INFO, "member {} incarnation {}: {}"),
    /** A later process runs under the node's name, so this one stops ordering. */
    SUPERSEDED(3003, Level.ERROR, "node {} incarnation {} is superseded by incarnation {}"),
    /** A configuration came in force on this node. */
    CONFIGURATION_IN_FORCE(3010, Level.INFO, "configuration {} in force"),
    /** A configuration cannot be decoded. */
    CONFIGURATION_UNREADABLE(3011, Level.ERROR, "configuration {} cannot be used: {}"),
    /** The configuration cannot be read from the key-value service. */
    CONFIGURATION_READ_FAILED(3012, Level.WARN, "configuration cannot be read: {}"),
    /** This node owns a runner. */
    RUNNER_ACQUIRED(3020, Level.INFO, "runner {} acquired at epoch {} by {}"),
    /** A runner that this node should own may not be taken over yet. */
    RUNNER_NOT_ACQUIRED(3021, Level.WARN, "runner {} not acquired: {}"),
    /** This node handed a runner over. */
    RUNNER_HANDED_OVER(3022, Level.INFO, "runner {} handed over at epoch {}"),
    /** This node no longer owns a runner. */
    RUNNER_LOST(3023, Level.WARN, "runner {} lost: {}"),
    /** The engine of an owned runner gave no answer. */
    ENGINE_FAILED(3024, Level.WARN, "runner {}: engine gave no answer: {}"),
    /** A load was ordered. */
    LOAD_ORDERED(3030, Level.INFO, "runner {}: load of {} ordered from {}"),
    /** A load order failed. */
    LOAD_FAILED(3031, Level.WARN, "runner {}: load of {} failed: {}"),
    /** A model was unloaded. */
    UNLOADED(3032, Level.INFO, "runner {}: {} unloaded, {}"),
    /** An unload order failed. */
    UNLOAD_FAILED(3033, Level.WARN, "runner {}: unload of {} failed: {}"),
    /** A demand for a model was refused. */
    LOAD_REFUSED(3034, Level.WARN, "load of {} refused: {}, {}"),
    /** A slot was granted. */
    SLOT_GRANTED(3035, Level.INFO, "runner {}: slot of {} granted"),
    /** A slot was given back. */
    SLOT_GIVEN_BACK(3036, Level.INFO, "runner {}: slot of {} given back, {}"),
    /** The key-value service gave no answer to a change of grants. */
    GRANTS_FAILED(3037, Level.WARN, "runner {}: {} failed: {}"),
    /** The epoch of an owned runner was raised, so that an order without an answer can no longer take effect. */
    RUNNER_REFENCED(3038, Level.WARN, "runner {}: epoch raised because an order got no answer: {}"),
    /** A model was loaded before anyone asked for it. */
    LOADED_AHEAD(3039, Level.INFO, "{} loaded ahead of demand on runner {}, held for {} ms"),
    /** The host list cannot be read. */
    HOST_LIST_FAILED(3040, Level.WARN, "host list cannot be read: {}"),
    /** The catalogue of the weight store cannot be read. */
    CATALOGUE_FAILED(3041, Level.WARN, "catalogue of the weight store cannot be read: {}"),
    /** Statistics of demand that another node sent cannot be read. */
    STATISTICS_UNREADABLE(3042, Level.WARN, "statistics of the demand for {} cannot be read: {}"),
    /** The slots of a runner that is gone, and whose owner is gone, were given back. */
    GONE_RUNNER_CLEARED(3044, Level.INFO, "runner {} is gone, its slots: {}"),
    /** A periodic task failed unexpectedly and will run again. */
    TASK_FAILED(3050, Level.ERROR, "task {} failed: {}");

    private final EventDefinition form;

    CoordinatorEvent(int number, Level level, String message) {
        this.form = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return form;
    }
}
