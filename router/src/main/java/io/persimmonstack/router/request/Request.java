package io.persimmonstack.router.request;

import io.opentelemetry.context.Context;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.snapshot.Target;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One caller's request on its way through the filters. Confined to the thread that handles it. */
public final class Request {
    private final String id;
    private final CallerMessage message;
    private final Reply reply;
    private final long arrivedNanos;
    private Context trace;
    private String caller = "";
    private Grant grant;
    private ChatBody chatBody;
    private int priority;
    private long deadlineNanos;
    private Optional<String> idempotencyKey = Optional.empty();
    private Reservation reservation;
    private final Set<Target> tried = new LinkedHashSet<>();
    private boolean reserved;
    private boolean resumed;
    private HttpCall answer;
    private RelayedAnswer relayed = RelayedAnswer.none();
    private volatile boolean cancellable = true;

    private Request(String id, CallerMessage message, Reply reply, Context trace) {
        this.id = id;
        this.message = message;
        this.reply = reply;
        this.trace = trace;
        this.arrivedNanos = System.nanoTime();
    }

    /**
     * Returns a request that has just arrived.
     *
     * @param id identifier, unique over all routers
     * @param message what the caller sent
     * @param reply way back to the caller
     * @param trace context that the caller sent
     * @return the request
     */
    public static Request arrived(String id, CallerMessage message, Reply reply, Context trace) {
        return new Request(id, message, reply, trace);
    }

    /** Returns the identifier sent to targets, unique over all routers. */
    public String id() {
        return id;
    }

    /** Returns what the caller sent. */
    public CallerMessage message() {
        return message;
    }

    /** Returns the way back to the caller. */
    public Reply reply() {
        return reply;
    }

    /** Returns when the request arrived. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns the time since the request arrived. */
    public long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedNanos);
    }

    /** Returns the span context of the current filter. */
    public Context trace() {
        return trace;
    }

    /** Sets the span context of the current filter. */
    public void trace(Context context) {
        this.trace = context;
    }

    /** Returns the name of the caller, empty until it is identified. */
    public String caller() {
        return caller;
    }

    /** Sets the name of the caller. */
    public void caller(String name) {
        this.caller = name;
    }

    /** Returns the parsed body of a chat completion, if the request is one. */
    public Optional<ChatBody> chatBody() {
        return Optional.ofNullable(chatBody);
    }

    /** Sets the parsed body of a chat completion. */
    public void chatBody(ChatBody body) {
        this.chatBody = body;
    }

    /** Returns what the configuration grants the request. */
    public Grant grant() {
        return grant;
    }

    /** Sets what the configuration grants the request. */
    public void grant(Grant granted) {
        this.grant = granted;
    }

    /** Returns what to do. */
    public Work work() {
        return grant.work();
    }

    /** Returns the deployment or service whose policy applies, empty until one does. */
    public String policy() {
        return grant == null ? "" : grant.policy();
    }

    /** Returns the priority, 0 most urgent. */
    public int priority() {
        return priority;
    }

    /** Returns the deadline on the clock of {@link System#nanoTime()}. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /**
     * Sets priority and deadline.
     *
     * @param level 0, most urgent, to 9
     * @param untilNanos deadline on the clock of {@link System#nanoTime()}
     */
    public void urgency(int level, long untilNanos) {
        this.priority = level;
        this.deadlineNanos = untilNanos;
    }

    /** Returns the time left until the deadline, 0 when it has passed. */
    public long leftMs() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
    }

    /** Returns the idempotency key sent to the target, if any. */
    public Optional<String> idempotencyKey() {
        return idempotencyKey;
    }

    /** Sets the idempotency key sent to the target. */
    public void idempotencyKey(String key) {
        this.idempotencyKey = Optional.of(key);
    }

    /** Returns whether the request is given up when its caller leaves. */
    public boolean cancellable() {
        return cancellable;
    }

    /** Lets the request run to its end without its caller, because its outcome is recorded for repeats. */
    public void finishWithoutCaller() {
        this.cancellable = false;
    }

    /** Returns the targets that failed the request and are avoided from now on. */
    public Set<Target> tried() {
        return tried;
    }

    /** Returns whether a broken stream is to be resumed at the target where it ran; true once. */
    public boolean resumeAtSameTarget() {
        boolean first = !resumed;
        resumed = true;
        return first;
    }

    /** Returns the place held at a target, or held last. */
    public Optional<Reservation> reservation() {
        return Optional.ofNullable(reservation);
    }

    /** Returns whether a place is held that has not been used for an attempt. */
    public boolean takeReserved() {
        boolean unused = reserved;
        reserved = false;
        return unused;
    }

    /** Sets the place held at a target. */
    public void reservation(Reservation held) {
        this.reservation = held;
        this.reserved = true;
    }

    /** Returns the answer of the target in the current attempt. */
    public HttpCall answer() {
        return answer;
    }

    /** Sets the answer of the target in the current attempt. */
    public void answer(HttpCall current) {
        this.answer = current;
    }

    /** Returns what has been relayed to the caller over all attempts. */
    public RelayedAnswer relayed() {
        return relayed;
    }

    /** Sets what has been relayed to the caller over all attempts. */
    public void relayed(RelayedAnswer soFar) {
        this.relayed = soFar;
    }
}
