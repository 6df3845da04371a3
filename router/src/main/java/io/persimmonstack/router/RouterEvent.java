package io.persimmonstack.router;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Events of the router. */
public enum RouterEvent implements Event {
    /** The router follows another coordinator than before. */
    COORDINATOR_FOLLOWED(2001, Level.INFO, "follows the snapshots of coordinator {} from sequence {}"),
    /** A coordinator gave no snapshot. */
    COORDINATOR_FAILED(2002, Level.WARN, "coordinator {} gave no answer: {}"),
    /** An attempt at a target failed. */
    TARGET_FAILED(2003, Level.WARN, "target {} failed request {}: {}"),
    /** An answer bore another request's identifier. */
    ANSWER_CROSSED(2004, Level.ERROR, "request {} got another's answer, connection closed: {}"),
    /** The circuit of a target opened. */
    CIRCUIT_OPENED(2005, Level.WARN, "target {} gets no work for {} ms after {} failures"),
    /** A load was refused. */
    LOAD_REFUSED(2006, Level.WARN, "load of {} refused: {} {}"),
    /** The router that a shard prefers gave no answer; this one writes the shard itself. */
    CLAIM_PEER_FAILED(2007, Level.WARN, "router {} gave no answer to a claim: {}"),
    /** The filters met an unexpected error. */
    REQUEST_FAILED(2008, Level.ERROR, "request {} met an unexpected error: {}"),
    /** The router leaves and still accepts requests for a while. */
    LEAVING(2009, Level.INFO, "leaves; accepts requests for {} ms more"),
    /** The router finishes its last requests. */
    DRAINING(2010, Level.INFO, "finishes {} requests"),
    /** The router was ended with requests unfinished. */
    DRAIN_CUT(2011, Level.ERROR, "ended with {} requests unfinished");

    private final EventDefinition form;

    RouterEvent(int number, Level level, String message) {
        this.form = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return form;
    }
}
