package io.persimmonstack.node;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Log events of the node. Operators and tools match their numbers, words and keys. */
public enum NodeEvent implements Event {
    /** The process has started; the node is not ready yet. */
    STARTED(6001, Level.INFO, "node-started node={} zone={} started={}"),
    /** The node has begun to drain. */
    LEAVING(6002, Level.INFO, "node-leaving node={} requests={}"),
    /** The drain has ended: all requests are finished, or the grace period is over. */
    LEFT(6003, Level.INFO, "node-left node={} unfinished={}"),
    /** The node is ready for the first time: it has a configuration and the list of runners. */
    READY(6004, Level.INFO, "node-ready node={} configuration={} runners={}"),
    /** A newer version of the configuration was applied. */
    CONFIGURATION(6005, Level.INFO, "configuration version={} before={} revision={} routes={} services={}"),
    /** A configuration in the store cannot be decoded; the previous one stays in force. */
    CONFIGURATION_UNREADABLE(6006, Level.ERROR, "configuration-unreadable revision={} cause={}"),
    /** The settings file was reloaded. */
    SETTINGS_READ(6007, Level.INFO, "settings-read outcome={}"),
    /** The settings file is invalid; the process exits. */
    SETTINGS_REFUSED(6008, Level.ERROR, "settings-refused file={} cause={}"),
    /** The store became unavailable, or did not end the lease of a stopping node. */
    STORE_LOST(6010, Level.WARN, "store-lost cause={}"),
    /** The store answers again; all changes are known. */
    STORE_REGAINED(6011, Level.INFO, "store-regained lost-ms={}"),
    /** A runner was added, or its process, address, service or leaving state changed. */
    RUNNER_CHANGED(
            6012,
            Level.INFO,
            "runner-changed runner={} version={} service={} address={} leaving={} models={} revision={}"),
    /** A runner was removed from the list. */
    RUNNER_GONE(6013, Level.INFO, "runner-gone runner={} revision={} cause={}"),
    /** An entry of a runner, a node or the leader cannot be decoded. */
    ENTRY_UNREADABLE(6014, Level.WARN, "entry-unreadable key={} revision={} cause={}"),
    /** The store lists another leader, or none. */
    LEADER_CHANGED(6015, Level.INFO, "leader-changed leader={} term={}"),
    /** This node was elected leader. */
    ELECTED(6016, Level.INFO, "elected node={} term={}"),
    /** This node lost the leadership. */
    DEPOSED(6017, Level.WARN, "deposed node={} term={} cause={}"),
    /** Load reports have had no answer for too long: the leader does not respond, or none is known. */
    LEADER_SILENT(6018, Level.WARN, "leader-silent leader={} cause={}"),
    /** The node's entry was written to the store under its lease. */
    REGISTERED(6019, Level.INFO, "registered node={} lease={}"),
    /** Handling what the store reported, or keeping the lease, failed with an unexpected error; it is tried again. */
    STORE_STEP_FAILED(6020, Level.ERROR, "store-step-failed step={} cause={}"),
    /** A runner said that it is shutting down, in an answer to this node or to another one. */
    RUNNER_SAYS_LEAVING(6021, Level.INFO, "runner-says-leaving runner={} started={} heard={}"),
    /** A runner asked this node for a pause. */
    RUNNER_QUIET(6022, Level.INFO, "runner-quiet runner={} ms={}"),
    /** A runner's answer has a field about itself that cannot be read; the field has no effect. */
    NOTICE_UNREADABLE(6023, Level.WARN, "notice-unreadable runner={} value={}"),
    /** A value of this node could not be written to the store; the write is repeated. */
    VALUE_NOT_STORED(6024, Level.WARN, "value-not-stored key={} bytes={} cause={}"),
    /** The store came back from a copy: what was written to it since then is lost, leases too. */
    STORE_ERA_CHANGED(6025, Level.WARN, "store-era-changed era={} before={}"),
    /** An answer of the store tells no usable era; no decision rests on it. One line for each process. */
    STORE_ERA_UNUSABLE(6026, Level.WARN, "store-era-unusable value={} known={}"),
    /** The software versions could not be read from the store, so that a stream of unknown origin is refused. */
    VERSIONS_NOT_READ(6027, Level.WARN, "versions-not-read cause={}"),
    /** The watch of the store ended; all keys are read again. */
    STORE_WATCH_ENDED(6028, Level.WARN, "store-watch-ended cause={} unconfirmed-ms={}"),
    /** The leader has assigned the slots of usage caps. */
    CAP_SLOTS_ASSIGNED(6029, Level.INFO, "cap-slots-assigned term={} number={} slots={} holders={}"),
    /** A holder of slots of usage caps did not answer a request for tokens; another one is asked. */
    CAP_HOLDER_SILENT(6030, Level.WARN, "cap-holder-silent holder={} workspace={} cause={}"),
    /** The configuration that was applied has workspaces, so that requests need keys. */
    WORKSPACES(6040, Level.INFO, "workspaces version={} workspaces={} keys={}"),
    /** A request was answered by a runner. */
    SERVED(
            6101,
            Level.INFO,
            "request-served id={} route={} model={} runner={} version={} sends={} first-ms={} ms={} parts={}"),
    /** The node answered a request itself, without a usable answer of a runner. */
    REFUSED(
            6102,
            Level.INFO,
            "request-refused id={} route={} model={} status={} reason={} retry-after-ms={} sends={} ms={} detail={}"),
    /** The caller disconnected before its answer was complete. */
    CALLER_LEFT(6104, Level.INFO, "caller-left id={} route={} model={} runner={} version={} sends={} ms={}"),
    /** An attempt at a runner failed; the request may be sent again. */
    ATTEMPT_FAILED(
            6105,
            Level.INFO,
            "attempt-failed id={} runner={} version={} sends={} runs={} max-runs={} left-ms={} silent-ms={}"
                    + " delivered={} next-version={} cause={} repeat={} parts={}"),
    /** Serving a request failed with an unexpected error. */
    REQUEST_ERROR(6106, Level.ERROR, "request-error id={} cause={}"),
    /** The runner of a request is silent and keeps the request, since something that another one needs is missing. */
    RUNNER_SILENT(6107, Level.INFO, "runner-silent id={} runner={} left-ms={} missing={}"),
    /** A request was not sent to the runner that had been chosen for it, because of what the runner said meanwhile. */
    SEND_WITHHELD(6108, Level.INFO, "send-withheld id={} runner={} cause={}"),
    /** A caller resumes a stream that an earlier request began. */
    STREAM_RESUMED(6109, Level.INFO, "stream-resumed id={} resumes={} after-event={} service={} version={}"),
    /** The origin of a stream was looked up for a caller that resumes it. */
    ORIGIN_LOOKUP(
            6110, Level.INFO, "origin-lookup request={} found={} holder={} version={} asked={} answered={} ms={}"),
    /** A node did not confirm copies of origins; they are sent again while it is listed. */
    ORIGIN_HOLDER_SILENT(6111, Level.WARN, "origin-holder-silent holder={} copies={} cause={}"),
    /** Copies of origins were given up, since too many wait or their validity has ended. */
    ORIGIN_COPIES_DROPPED(6112, Level.WARN, "origin-copies-dropped copies={}"),
    /** Scheduling copies of origins failed with an unexpected error; it is tried again. */
    ORIGIN_COPIES_ERROR(6113, Level.ERROR, "origin-copies-error cause={}"),
    /** The process that a connection leads to is not known; a stream that begins on it cannot go on elsewhere. */
    PROCESS_UNKNOWN(6114, Level.INFO, "process-unknown id={} runner={} cause={}"),
    /** The process of a runner ended while a request waited there for the beginning of its answer. */
    RUNNER_ENDED(6115, Level.WARN, "runner-ended id={} runner={} started={} parts={}"),
    /** Runners end under requests with a part in their prompts: such requests are refused from now on. */
    PART_BLOCKED(6116, Level.WARN, "part-blocked part={} ends={}"),
    /** Requests with a part in their prompts are no longer refused. */
    PART_FREED(6117, Level.INFO, "part-freed part={}"),
    /** A single request with a blocked part is sent to a runner, to find out whether the part still ends runners. */
    PART_TRIED(6118, Level.INFO, "part-tried part={}"),
    /** A node did not take reports about ended runners; it may hear of them from others or from the store. */
    CRASH_REPORT_NOT_SENT(6119, Level.INFO, "crash-report-not-sent node={} reports={} cause={}"),
    /** A request got a runner only after a wait, in the order of the queue. */
    WAITED(6130, Level.INFO, "request-waited id={} workspace={} priority={} runner={} ms={} late={}"),
    /** Input of a client was refused before it was a whole request; without a status, its connection was closed. */
    INPUT_REFUSED(6140, Level.INFO, "input-refused reason={} status={}"),
    /** A load or unload order was sent to a runner. */
    ORDER(6201, Level.INFO, "order runner={} order={} term={} sequence={} outcome={} reason={} source={}"),
    /** An order was completed. */
    ORDER_DONE(6202, Level.INFO, "order-done runner={} order={} ms={} outcome={}"),
    /** A status report of a runner could not be read. */
    REPORT_FAILED(6203, Level.WARN, "report-failed runner={} cause={}"),
    /** The leader has planned orders for a runner; the sequence number and the used memory are those of its state. */
    DIRECTIVE(
            6204,
            Level.INFO,
            "directive runner={} orders={} sequence={} used-mb={} memory-mb={} adapters={} loading={} adapter-slots={}"
                    + " requests={} reason={}"),
    /** The number of loads that the weight store serves concurrently at full speed has been learned anew. */
    STORE_LIMITS(6205, Level.INFO, "store-limits loads={} urgent-loads={}"),
    /** The pace of a runner, by its answers to all nodes, is no longer the usual one, or is again (1). */
    RUNNER_PACE(6251, Level.INFO, "runner-pace runner={} started={} pace={}"),
    /** The share of the requests for a service that this node sends to other zones has begun, ended or changed much. */
    ZONE_SHARE(6252, Level.INFO, "zone-share service={} share={} home={} away={}"),
    /** Requests are no longer sent to another zone, since connections there fail, or are again. */
    ZONE_LINK(6253, Level.INFO, "zone-link zone={} cut={}"),
    /** Lines of one event were suppressed by its rate limit. */
    SUPPRESSED(6900, Level.INFO, "lines-left-out event={} count={}");

    private final EventDefinition definition;

    NodeEvent(int number, Level level, String message) {
        this.definition = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
