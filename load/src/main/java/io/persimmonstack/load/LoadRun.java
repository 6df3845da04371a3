package io.persimmonstack.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.load.replay.CompressedTrace;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Runs one load: bursts of chat requests to models that may not be loaded, steady chat requests to the same models, an
 * optional generated trace, and calls to plain services that must not run twice.
 */
final class LoadRun {
    private static final EventLog LOG = EventLog.of(LoadRun.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final int MAX_ATTEMPTS_PER_KEY = 4;
    private static final int MS_PER_SECOND = 1_000;
    private static final int PERCENT = 100;
    /** Time on the network by which an answer may exceed its deadline before it counts as late. */
    private static final int ROUND_TRIP_ALLOWANCE_MS = 50;

    private static final long NANOS_PER_MS = 1_000_000L;
    private final LoadSettings settings;
    private final LoadResult result = new LoadResult();
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final Semaphore inFlightPermits;
    private final String runId;
    private final RouterClient client;
    private final RouterAddressCache routers;

    private LoadRun(LoadSettings settings, HttpConnector connector, String callerKey) {
        this.settings = settings;
        this.inFlightPermits = new Semaphore(settings.maxInFlight());
        this.runId = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
        this.client = RouterClient.of(connector, callerKey, settings.deadlineMs(), settings.graceMs());
        this.routers = RouterAddressCache.of(
                connector, settings.entries().stream().map(PeerAddress::parse).toList());
    }

    /** Request to be sent at a time given in milliseconds from the start of the run. */
    private record ScheduledRequest(long atMs, Runnable sender) implements Comparable<ScheduledRequest> {
        @Override
        public int compareTo(ScheduledRequest other) {
            return Long.compare(atMs, other.atMs);
        }
    }

    /** Sends all requests at their scheduled times and waits for the last outcome. */
    static LoadResult execute(LoadSettings settings, String callerKey) {
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            LoadRun run = new LoadRun(settings, connector, callerKey);
            run.sendAll();
            return run.result;
        }
    }

    /** Sends each request at its time, or counts it as skipped if the limit of requests in flight is reached. */
    private void sendAll() {
        PriorityQueue<ScheduledRequest> schedule = createSchedule();
        long originNanos = System.nanoTime();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            while (!schedule.isEmpty()) {
                ScheduledRequest next = schedule.poll();
                parkUntil(originNanos + next.atMs() * NANOS_PER_MS);
                if (inFlightPermits.tryAcquire()) {
                    threads.execute(() -> runAndRelease(next.sender()));
                } else {
                    result.countSkipped();
                }
            }
        }
    }

    private void runAndRelease(Runnable sender) {
        try {
            sender.run();
        } finally {
            inFlightPermits.release();
        }
    }

    private static void parkUntil(long untilNanos) {
        for (long remainingNanos = untilNanos - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = untilNanos - System.nanoTime()) {
            LockSupport.parkNanos(remainingNanos);
        }
    }

    /** Creates the schedule of all requests; apart from identifiers, the same settings give the same schedule. */
    private PriorityQueue<ScheduledRequest> createSchedule() {
        PriorityQueue<ScheduledRequest> schedule = new PriorityQueue<>();
        Random random = new Random(settings.seed());
        long burstAtMs = 0;
        List<String> models = settings.models();
        int burstCount = settings.burstRounds() * models.size();
        for (int burst = 0; burst < burstCount && burstAtMs < settings.durationMs(); burst++) {
            String model = models.get(burst % models.size());
            for (int i = 0; i < settings.burstSize(); i++) {
                schedule.add(new ScheduledRequest(burstAtMs, () -> sendChat(model, true, result.cold())));
            }
            burstAtMs += settings.burstEveryMs();
        }
        int chatCount = models.isEmpty() ? 0 : settings.chatsPerSecond() * settings.durationMs() / MS_PER_SECOND;
        for (int i = 0; i < chatCount; i++) {
            int atMs = random.nextInt(settings.durationMs());
            int startedModels = Math.min(models.size(), 1 + atMs / settings.burstEveryMs());
            String model = models.get(random.nextInt(startedModels));
            boolean streamed = random.nextInt(PERCENT) >= settings.wholePercent();
            schedule.add(new ScheduledRequest(atMs, () -> sendChat(model, streamed, result.warm())));
        }
        generateTrace(settings)
                .ifPresent(trace -> trace.requests().forEach(request -> {
                    String model = models.get(request.modelIndex());
                    schedule.add(new ScheduledRequest(request.atMs(), () -> sendChat(model, true, result.cold())));
                }));
        List<String> services = settings.services();
        int callCount = services.isEmpty() ? 0 : settings.callsPerSecond() * settings.durationMs() / MS_PER_SECOND;
        for (int i = 0; i < callCount; i++) {
            String service = services.get(random.nextInt(services.size()));
            schedule.add(new ScheduledRequest(random.nextInt(settings.durationMs()), () -> callService(service)));
        }
        return schedule;
    }

    /**
     * Generates the trace that the settings describe; empty if they ask for none. The same settings give the same
     * trace.
     */
    static Optional<CompressedTrace> generateTrace(LoadSettings settings) {
        return settings.sessionsPerHour() == 0
                ? Optional.empty()
                : Optional.of(CompressedTrace.generate(
                        settings.models().size(),
                        settings.sessionsPerHour(),
                        settings.compression(),
                        settings.durationMs(),
                        settings.seed()));
    }

    private String nextRequestId() {
        return "load-" + runId + "-" + lastRequestNumber.incrementAndGet();
    }

    /** Sends one chat request with a unique prompt and records its outcome. */
    private void sendChat(String model, boolean streamed, RequestStatistics statistics) {
        String id = nextRequestId();
        long startNanos = System.nanoTime();
        String prompt = "Why was this deducted? " + id;
        ExpectedAnswer expected = new ExpectedAnswer(prompt, settings.maxTokens());
        HttpRequest request = HttpRequest.postJson("/v1/chat/completions", chatBody(model, streamed, prompt));
        RouterClient.AnswerReader reader = streamed ? ChatStreamReader.of(expected) : ChatCompletionReader.of(expected);
        RequestOutcome outcome = client.send(routers.tryOrder(), request, id, reader);
        recordOutcome(statistics, new FinishedRequest(id, model, outcome, RouterClient.millisSince(startNanos)));
    }

    private String chatBody(String model, boolean streamed, String prompt) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", model);
        body.put("stream", streamed);
        body.put("max_tokens", settings.maxTokens());
        ObjectNode message = body.putArray("messages").addObject();
        message.put("role", "user");
        message.put("content", prompt);
        return body.toString();
    }

    /**
     * Calls a plain service with a new idempotency key. While the call was not sent or it is unknown whether it ran,
     * sends it again with the same key, up to {@link #MAX_ATTEMPTS_PER_KEY} attempts in all.
     */
    private void callService(String service) {
        String key = "key-" + nextRequestId();
        RequestOutcome outcome = new RequestOutcome.NotSent("no attempt was made");
        List<String> requestIds = new ArrayList<>();
        for (int attempt = 0; attempt < MAX_ATTEMPTS_PER_KEY && mayRetry(outcome); attempt++) {
            String id = nextRequestId();
            requestIds.add(id);
            long startNanos = System.nanoTime();
            List<PeerAddress> addresses = new ArrayList<>(routers.tryOrder());
            Collections.rotate(addresses, attempt);
            HttpRequest request = HttpRequest.postJson("/services/" + service, "{\"key\":\"" + key + "\"}")
                    .with("Idempotency-Key", key);
            outcome = client.send(
                    addresses, request, id, (response, sentNanos) -> readServiceAnswer(response, sentNanos, key));
            recordOutcome(
                    result.serviceCalls(),
                    new FinishedRequest(id, service, outcome, RouterClient.millisSince(startNanos)));
        }
        if (outcome instanceof RequestOutcome.Refused refused && refused.ran().equals("no")) {
            result.addRefusedKey(requestIds);
        }
    }

    /** Returns whether to send a call again with its key: it was not sent, or it is unknown whether it ran. */
    private static boolean mayRetry(RequestOutcome outcome) {
        return switch (outcome) {
            case RequestOutcome.Complete ignored -> false;
            case RequestOutcome.Incorrect ignored -> false;
            case RequestOutcome.Refused refused -> refused.ran().equals("unknown");
            case RequestOutcome.Dropped ignored -> true;
            case RequestOutcome.NotSent ignored -> true;
        };
    }

    /** Checks that the response body contains the idempotency key of the call. */
    private static RequestOutcome readServiceAnswer(
            io.persimmonstack.backends.http.HttpCall response, long startNanos, String key) throws HttpFailure {
        long firstByteMs = RouterClient.millisSince(startNanos);
        String body = new String(response.readAll(MAX_ANSWER_BYTES), StandardCharsets.UTF_8);
        return body.contains("\"" + key + "\"")
                ? new RequestOutcome.Complete(firstByteMs)
                : new RequestOutcome.Incorrect("the response body does not contain the key " + key);
    }

    /**
     * Request with its outcome; {@code target} is the model or service, {@code durationMs} the time until the outcome.
     */
    private record FinishedRequest(String id, String target, RequestOutcome outcome, long durationMs) {}

    /** Adds the outcome to the statistics and logs it if the request failed. */
    private void recordOutcome(RequestStatistics statistics, FinishedRequest finished) {
        statistics.count(
                finished.id(),
                finished.outcome(),
                finished.durationMs() > settings.deadlineMs() + ROUND_TRIP_ALLOWANCE_MS);
        switch (finished.outcome()) {
            case RequestOutcome.Incorrect incorrect ->
                logFailure(LoadEvent.WRONG_ANSWER, finished, "a router", incorrect.detail());
            case RequestOutcome.Dropped dropped ->
                logFailure(LoadEvent.DROPPED, finished, "a router", dropped.detail());
            case RequestOutcome.NotSent notSent ->
                logFailure(LoadEvent.DROPPED, finished, "any router", notSent.detail());
            case RequestOutcome.Complete ignored -> {}
            case RequestOutcome.Refused ignored -> {}
        }
    }

    private static void logFailure(LoadEvent event, FinishedRequest finished, String router, String detail) {
        LOG.write(event, finished.id(), finished.target(), router, detail);
    }
}
