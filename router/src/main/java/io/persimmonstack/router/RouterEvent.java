package io.persimmonstack.router;

import io.persimmonstack.runtime.event.Event;
import io.persimmonstack.runtime.event.EventDefinition;
import org.apache.logging.log4j.Level;

/** Events that the router logs. */
public enum RouterEvent implements Event {
    /** The router gets its snapshots from another coordinator than before. */
    COORDINATOR_FOLLOWED(2001, Level.INFO, "following the snapshots of coordinator {} from sequence {}"),
    /** A call to a coordinator failed, or its snapshot could not be read. */
    COORDINATOR_FAILED(2002, Level.WARN, "call to coordinator {} failed: {}"),
    /** An attempt to have a request answered by a target failed. */
    TARGET_FAILED(2003, Level.WARN, "target {} of software version {} failed request {} after {} tokens: {}"),
    /** A target sent an answer that carries the identifier of another request. */
    ANSWER_CROSSED(2004, Level.ERROR, "request {} received the answer to another request, connection closed: {}"),
    /** The circuit breaker of a target opened. */
    CIRCUIT_OPENED(2005, Level.WARN, "circuit of target {} opened for {} ms after {} consecutive failures"),
    /** The load of a model that requests wait for was refused. */
    LOAD_REFUSED(2006, Level.WARN, "load of {} refused with {}: {}"),
    /** The router preferred for a claim shard did not answer, so this one writes the shard itself. */
    CLAIM_PEER_FAILED(2007, Level.WARN, "claim call to router {} failed: {}"),
    /** An unexpected error occurred while a request was handled. */
    REQUEST_FAILED(2008, Level.ERROR, "unexpected error in request {}: {}"),
    /** The router announced that it is leaving and still accepts requests for a while. */
    LEAVING(2009, Level.INFO, "leaving, accepting requests for another {} ms"),
    /** The router waits for the requests in progress before it stops. */
    DRAINING(2010, Level.INFO, "draining, {} requests in progress"),
    /** The drain timeout passed and the router stops with requests in progress. */
    DRAIN_CUT(2011, Level.ERROR, "drain timeout passed with {} requests in progress"),
    /** A stream goes on at a target; both versions are given, that of the stream first. */
    STREAM_RESUMED(
            2012,
            Level.INFO,
            "request {} goes on after {} tokens at target {}: software version {} required, {} found"),
    /** A target that was to go on with a stream answered, but is of another software version. */
    VERSION_DIFFERS(
            2013,
            Level.WARN,
            "request {} does not go on after {} tokens at target {}: software version {} required, {} found"),
    /** A stream ended with an error event after its first token, since no target of its software version goes on. */
    STREAM_ENDED(2014, Level.WARN, "request {} ends after {} tokens of software version {}: {}"),
    /** The process of a target ended while a request waited there for the beginning of its answer. */
    TARGET_ENDED(2015, Level.WARN, "target {} ended while request {} with prompt parts {} waited there"),
    /** Runners end under requests with a message in their prompts: such requests are refused from now on. */
    PROMPT_BLOCKED(2016, Level.WARN, "prompts with part {} are refused after {} ends of runners"),
    /** Requests with a message in their prompts are no longer refused. */
    PROMPT_FREED(2017, Level.INFO, "prompts with part {} are no longer refused"),
    /** A single request with a blocked message is sent, to find out whether it still ends runners. */
    PROMPT_TRIED(2018, Level.INFO, "a prompt with part {} is tried"),
    /** A router did not take reports about ended runners; it may hear of them from others. */
    CRASH_REPORT_NOT_SENT(2019, Level.INFO, "router {} did not take {} reports about ended runners: {}");

    private final EventDefinition definition;

    RouterEvent(int number, Level level, String message) {
        this.definition = new EventDefinition(number, level, message);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
