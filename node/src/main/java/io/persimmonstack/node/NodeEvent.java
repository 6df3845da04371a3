package io.persimmonstack.node;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventForm;
import org.apache.logging.log4j.Level;

/** Events of the node. */
public enum NodeEvent implements Event {
    /** The node serves. */
    STARTED(6001, Level.INFO, "node-started node={} zone={} started={}"),
    /** The node finishes its requests and takes no new callers. */
    LEAVING(6002, Level.INFO, "node-leaving node={} requests={}"),
    /** The node has finished, or its time to do so was over. */
    LEFT(6003, Level.INFO, "node-left node={} unfinished={}"),
    /** The node knows enough to serve. */
    READY(6004, Level.INFO, "node-ready node={} configuration={} runners={}"),
    /** Another version of the configuration is in force. */
    CONFIGURATION(6005, Level.INFO, "configuration version={} before={} revision={} routes={} services={}"),
    /** A configuration in the store cannot be used. */
    CONFIGURATION_UNREADABLE(6006, Level.ERROR, "configuration-unreadable revision={} cause={}"),
    /** The settings file was read again. */
    SETTINGS_READ(6007, Level.INFO, "settings-read outcome={}"),
    /** The settings file cannot be used, and the process ends. */
    SETTINGS_REFUSED(6008, Level.ERROR, "settings-refused file={} cause={}"),
    /** The store gave no answer. */
    STORE_LOST(6010, Level.WARN, "store-lost cause={}"),
    /** The store answers again. */
    STORE_REGAINED(6011, Level.INFO, "store-regained revision={} lost-ms={}"),
    /** A runner was added or changed. */
    RUNNER_CHANGED(6012, Level.INFO, "runner-changed runner={} service={} address={} leaving={} models={} revision={}"),
    /** A runner is gone. */
    RUNNER_GONE(6013, Level.INFO, "runner-gone runner={} revision={} cause={}"),
    /** An entry of the list of runners cannot be read. */
    RUNNER_UNREADABLE(6014, Level.WARN, "runner-unreadable runner={} revision={}"),
    /** Another node leads, or none. */
    LEADER_CHANGED(6015, Level.INFO, "leader-changed leader={} term={}"),
    /** This node leads. */
    ELECTED(6016, Level.INFO, "elected node={} term={}"),
    /** This node does not lead any more. */
    DEPOSED(6017, Level.WARN, "deposed node={} term={} cause={}"),
    /** The leader gave no answer. */
    LEADER_SILENT(6018, Level.WARN, "leader-silent leader={} cause={}"),
    /** The node's entry in the store was written. */
    REGISTERED(6019, Level.INFO, "registered node={} lease={}"),
    /** A request was answered by a runner. */
    SERVED(6101, Level.INFO, "request-served id={} route={} model={} runner={} sends={} first-ms={} ms={}"),
    /** A request was answered by the node itself. */
    REFUSED(
            6102,
            Level.INFO,
            "request-refused id={} route={} model={} status={} reason={} retry-after-ms={} sends={} ms={} detail={}"),
    /** The caller left before its answer was complete. */
    CALLER_LEFT(6104, Level.INFO, "caller-left id={} route={} model={} runner={} sends={} ms={}"),
    /** An attempt at a runner brought no whole answer. */
    ATTEMPT_FAILED(6105, Level.INFO, "attempt-failed id={} runner={} sends={} cause={} repeat={}"),
    /** The filters met an unexpected error. */
    REQUEST_ERROR(6106, Level.ERROR, "request-error id={} cause={}"),
    /** An order was given to a runner. */
    ORDER(6201, Level.INFO, "order runner={} order={} term={} sequence={} outcome={} reason={} source={}"),
    /** An order is done. */
    ORDER_DONE(6202, Level.INFO, "order-done runner={} order={} ms={} outcome={}"),
    /** A runner gave no report. */
    REPORT_FAILED(6203, Level.WARN, "report-failed runner={} cause={}"),
    /** Lines were left out to bound the volume. */
    SUPPRESSED(6900, Level.INFO, "lines-left-out event={} count={}");

    private final EventForm form;

    NodeEvent(int number, Level level, String message) {
        this.form = new EventForm(number, level, message);
    }

    @Override
    public EventForm form() {
        return form;
    }
}
