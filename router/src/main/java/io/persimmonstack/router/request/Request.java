package io.persimmonstack.router.request;

import io.opentelemetry.context.Context;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.coordination.crash.PartPermit;
import io.persimmonstack.router.admission.Reservation;
import io.persimmonstack.router.snapshot.Target;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * State of one caller's request while it passes through the filters. Confined to the thread that handles the request,
 * except for {@link #cancellable()}, which any thread may call.
 */
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
    private TargetFilter targetFilter = TargetFilter.any();
    private boolean reservationUnused;
    private boolean sameTargetResumeUsed;
    private int failedAttempts;
    private Optional<Successor> successor = Optional.empty();
    private AnswerPart awaitedPart = AnswerPart.HEAD;
    private HttpCall answer;
    private StreamOrigin answerOrigin;
    private RelayedAnswer relayed = RelayedAnswer.none();
    private Optional<PartPermit> promptPermit = Optional.empty();
    private volatile boolean cancellable = true;

    private Request(String id, CallerMessage message, Reply reply, Context trace) {
        this.id = id;
        this.message = message;
        this.reply = reply;
        this.trace = trace;
        this.arrivedNanos = System.nanoTime();
    }

    /**
     * Creates the state of a request that has just arrived.
     *
     * @param id identifier, unique across all routers
     * @param message HTTP request that the caller sent
     * @param reply sends the answer to the caller
     * @param trace trace context that the caller sent
     * @return the request
     */
    public static Request arrived(String id, CallerMessage message, Reply reply, Context trace) {
        return new Request(id, message, reply, trace);
    }

    /** Returns the identifier that is sent to targets, unique across all routers. */
    public String id() {
        return id;
    }

    /** Returns the HTTP request that the caller sent. */
    public CallerMessage message() {
        return message;
    }

    /** Returns the object that sends the answer to the caller. */
    public Reply reply() {
        return reply;
    }

    /** Returns the arrival time on the clock of {@link System#nanoTime()}. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns the time since the request arrived, in milliseconds. */
    public long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedNanos);
    }

    /** Sets the permission of the present attempt by its prompt, empty between attempts. */
    public void promptPermit(Optional<PartPermit> permit) {
        this.promptPermit = permit;
    }

    /** Returns whether a part of the prompt may end targets, so that only one may work on the request. */
    public boolean isPromptSuspected() {
        return promptPermit.map(PartPermit::isSuspected).orElse(false);
    }

    /** Records that the answer of the target has begun. */
    public void answerBegun() {
        promptPermit.ifPresent(PartPermit::answerBegun);
    }

    /** Returns the trace context with the span of the current filter. */
    public Context trace() {
        return trace;
    }

    /** Sets the trace context with the span of the current filter. */
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

    /** Returns what the configuration grants the request, null until it is authorised. */
    public Grant grant() {
        return grant;
    }

    /** Sets what the configuration grants the request. */
    public void grant(Grant granted) {
        this.grant = granted;
    }

    /** Returns the work that a target is to do. Must not be called before the request is authorised. */
    public Work work() {
        return grant.work();
    }

    /** Returns the name of the deployment or service whose policy applies, empty until the request is authorised. */
    public String policy() {
        return grant == null ? "" : grant.policy();
    }

    /** Returns the priority, from 0 (most urgent) to 9. */
    public int priority() {
        return priority;
    }

    /** Returns the deadline on the clock of {@link System#nanoTime()}. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /**
     * Sets the priority and the deadline.
     *
     * @param newPriority priority from 0 (most urgent) to 9
     * @param newDeadlineNanos deadline on the clock of {@link System#nanoTime()}
     */
    public void setPriorityAndDeadline(int newPriority, long newDeadlineNanos) {
        this.priority = newPriority;
        this.deadlineNanos = newDeadlineNanos;
    }

    /** Returns the time left until the deadline in milliseconds, 0 once it has passed. */
    public long remainingMs() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
    }

    /** Returns the idempotency key to send to the target, if any. */
    public Optional<String> idempotencyKey() {
        return idempotencyKey;
    }

    /** Sets the idempotency key to send to the target. */
    public void idempotencyKey(String key) {
        this.idempotencyKey = Optional.of(key);
    }

    /** Returns whether the request is cancelled when its caller leaves. */
    public boolean cancellable() {
        return cancellable;
    }

    /** Keeps the request running after its caller has left, because its outcome is recorded for retries. */
    public void finishWithoutCaller() {
        this.cancellable = false;
    }

    /** Returns which targets may take the next attempt. */
    public TargetFilter targetFilter() {
        return targetFilter;
    }

    /** Excludes a target, which failed the request, from further attempts. */
    public void excludeTarget(Target target) {
        targetFilter = targetFilter.excluding(target);
    }

    /** Sets where the answer in the current attempt comes from. */
    public void answerOrigin(StreamOrigin origin) {
        this.answerOrigin = origin;
    }

    /** Binds further attempts to the origin of the current answer, of which the caller is about to get a token. */
    public void bindToAnswerOrigin() {
        if (targetFilter.origin().isEmpty()) {
            targetFilter = targetFilter.boundTo(answerOrigin);
        }
    }

    /** Returns whether a broken stream may be resumed at the same target: true for the first call, then false. */
    public boolean takeSameTargetResume() {
        boolean first = !sameTargetResumeUsed;
        sameTargetResumeUsed = true;
        return first;
    }

    /** Returns whether a broken stream has already been resumed at the same target. */
    public boolean sameTargetResumeUsed() {
        return sameTargetResumeUsed;
    }

    /** Returns the number of attempts that failed, without those that a target refused to run. */
    public int failedAttempts() {
        return failedAttempts;
    }

    /** Counts one more failed attempt. */
    public void countFailedAttempt() {
        failedAttempts++;
    }

    /** Returns what was reserved for the next attempt, if anything. */
    public Optional<Successor> successor() {
        return successor;
    }

    /** Sets what was reserved for the next attempt. */
    public void successor(Successor reserved) {
        this.successor = Optional.of(reserved);
    }

    /** Returns what was reserved for the next attempt, and hands it over to the caller, which has to release it. */
    public Optional<Successor> takeSuccessor() {
        Optional<Successor> taken = successor;
        successor = Optional.empty();
        return taken;
    }

    /** Returns the part of the answer that the current attempt waits for. */
    public AnswerPart awaitedPart() {
        return awaitedPart;
    }

    /** Sets the part of the answer that the current attempt waits for. */
    public void awaitedPart(AnswerPart part) {
        this.awaitedPart = part;
    }

    /** Returns the current or most recent reservation, empty before the request is admitted. */
    public Optional<Reservation> reservation() {
        return Optional.ofNullable(reservation);
    }

    /** Returns whether the reservation has not been used for an attempt yet, and marks it as used. */
    public boolean takeUnusedReservation() {
        boolean unused = reservationUnused;
        reservationUnused = false;
        return unused;
    }

    /** Sets the reservation for the next attempt. */
    public void reservation(Reservation held) {
        this.reservation = held;
        this.reservationUnused = true;
    }

    /** Returns the call that carries the target's answer in the current attempt, null before the first one. */
    public HttpCall answer() {
        return answer;
    }

    /** Sets the call that carries the target's answer in the current attempt. */
    public void answer(HttpCall current) {
        this.answer = current;
    }

    /** Returns the part of the answer relayed to the caller so far, by all attempts together. */
    public RelayedAnswer relayed() {
        return relayed;
    }

    /** Sets the part of the answer relayed to the caller so far. */
    public void relayed(RelayedAnswer soFar) {
        this.relayed = soFar;
    }
}
