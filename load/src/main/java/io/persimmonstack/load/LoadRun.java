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

/** One run: cold bursts, a stream of requests for the same models and calls that may not be repeated. */
final class LoadRun {
    private static final EventLog LOG = EventLog.of(LoadRun.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final int MAX_KEY_ATTEMPTS = 4;
    private static final int MS_PER_SECOND = 1_000;
    private static final int PERCENT = 100;
    private static final int ROUND_TRIP_MS = 50;
    private static final long NANOS_PER_MS = 1_000_000L;
    private final LoadSettings settings;
    private final LoadResult result = new LoadResult();
    private final AtomicLong numbers = new AtomicLong();
    private final Semaphore inFlight;
    private final String runId;
    private final Caller caller;
    private final AddressBook addresses;

    private LoadRun(LoadSettings settings, HttpConnector connector, String key) {
        this.settings = settings;
        this.inFlight = new Semaphore(settings.maxInFlight());
        this.runId = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
        this.caller = Caller.of(connector, key, settings.deadlineMs(), settings.graceMs());
        this.addresses = AddressBook.of(
                connector, settings.entries().stream().map(PeerAddress::parse).toList());
    }

    private record Arrival(long atMs, Runnable request) implements Comparable<Arrival> {
        @Override
        public int compareTo(Arrival other) {
            return Long.compare(atMs, other.atMs);
        }
    }

    /** Sends all requests and waits until the last one has ended. */
    static LoadResult execute(LoadSettings settings, String key) {
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            LoadRun run = new LoadRun(settings, connector, key);
            run.sendAll();
            return run.result;
        }
    }

    private void sendAll() {
        PriorityQueue<Arrival> arrivals = arrivals();
        long originNanos = System.nanoTime();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            while (!arrivals.isEmpty()) {
                Arrival next = arrivals.poll();
                awaitUntil(originNanos + next.atMs() * NANOS_PER_MS);
                if (inFlight.tryAcquire()) {
                    threads.execute(() -> runAndRelease(next.request()));
                } else {
                    result.skipped();
                }
            }
        }
    }

    private void runAndRelease(Runnable request) {
        try {
            request.run();
        } finally {
            inFlight.release();
        }
    }

    private static void awaitUntil(long nanos) {
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private PriorityQueue<Arrival> arrivals() {
        PriorityQueue<Arrival> arrivals = new PriorityQueue<>();
        Random random = new Random(settings.seed());
        long burstAtMs = 0;
        List<String> models = settings.models();
        int bursts = settings.burstRounds() * models.size();
        for (int burst = 0; burst < bursts && burstAtMs < settings.durationMs(); burst++) {
            String model = models.get(burst % models.size());
            for (int i = 0; i < settings.burstSize(); i++) {
                arrivals.add(new Arrival(burstAtMs, () -> chat(model, true, result.cold())));
            }
            burstAtMs += settings.burstEveryMs();
        }
        int chats = models.isEmpty() ? 0 : settings.chatsPerSecond() * settings.durationMs() / MS_PER_SECOND;
        for (int i = 0; i < chats; i++) {
            int atMs = random.nextInt(settings.durationMs());
            int begun = Math.min(models.size(), 1 + atMs / settings.burstEveryMs());
            String model = models.get(random.nextInt(begun));
            boolean streamed = random.nextInt(PERCENT) >= settings.wholePercent();
            arrivals.add(new Arrival(atMs, () -> chat(model, streamed, result.warm())));
        }
        trace(settings)
                .ifPresent(trace -> trace.requests().forEach(request -> {
                    String model = models.get(request.model());
                    arrivals.add(new Arrival(request.atMs(), () -> chat(model, true, result.cold())));
                }));
        List<String> services = settings.services();
        int calls = services.isEmpty() ? 0 : settings.callsPerSecond() * settings.durationMs() / MS_PER_SECOND;
        for (int i = 0; i < calls; i++) {
            String service = services.get(random.nextInt(services.size()));
            arrivals.add(new Arrival(random.nextInt(settings.durationMs()), () -> call(service)));
        }
        return arrivals;
    }

    /** Returns the trace that the settings ask for. */
    static Optional<CompressedTrace> trace(LoadSettings settings) {
        return settings.sessionsPerHour() == 0
                ? Optional.empty()
                : Optional.of(CompressedTrace.generate(
                        settings.models().size(),
                        settings.sessionsPerHour(),
                        settings.compression(),
                        settings.durationMs(),
                        settings.seed()));
    }

    private String nextId() {
        return "load-" + runId + "-" + numbers.incrementAndGet();
    }

    private void chat(String model, boolean streamed, Tally tally) {
        String id = nextId();
        long startNanos = System.nanoTime();
        String prompt = "Why was this deducted? " + id;
        AnswerCheck check = new AnswerCheck(prompt, settings.maxTokens());
        HttpRequest request = HttpRequest.postJson("/v1/chat/completions", chatBody(model, streamed, prompt));
        Caller.Reader reader = streamed ? ChatReader.of(check) : WholeChatReader.of(check);
        Outcome outcome = caller.send(addresses.order(), request, id, reader);
        finish(tally, new Ended(id, model, outcome, Caller.millisSince(startNanos)));
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

    /** Calls a plain service once; after an unknown outcome the same key is presented again at another router. */
    private void call(String service) {
        String key = "key-" + nextId();
        Outcome outcome = new Outcome.NotSent("not tried");
        List<String> ids = new ArrayList<>();
        for (int attempt = 0; attempt < MAX_KEY_ATTEMPTS && mayAskAgain(outcome); attempt++) {
            String id = nextId();
            ids.add(id);
            long startNanos = System.nanoTime();
            List<PeerAddress> order = new ArrayList<>(addresses.order());
            Collections.rotate(order, attempt);
            HttpRequest request = HttpRequest.postJson("/services/" + service, "{\"key\":\"" + key + "\"}")
                    .with("Idempotency-Key", key);
            outcome = caller.send(order, request, id, (answer, sentNanos) -> readCall(answer, sentNanos, key));
            finish(result.calls(), new Ended(id, service, outcome, Caller.millisSince(startNanos)));
        }
        if (outcome instanceof Outcome.Refused refused && refused.ran().equals("no")) {
            result.keySaidNotRun(ids);
        }
    }

    private static boolean mayAskAgain(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Whole ignored -> false;
            case Outcome.Wrong ignored -> false;
            case Outcome.Refused refused -> refused.ran().equals("unknown");
            case Outcome.Dropped ignored -> true;
            case Outcome.NotSent ignored -> true;
        };
    }

    private static Outcome readCall(io.persimmonstack.backends.http.HttpCall answer, long startNanos, String key)
            throws HttpFailure {
        long firstByteMs = Caller.millisSince(startNanos);
        String body = new String(answer.readAll(MAX_ANSWER_BYTES), StandardCharsets.UTF_8);
        return body.contains("\"" + key + "\"")
                ? new Outcome.Whole(firstByteMs)
                : new Outcome.Wrong("the body does not bear the key " + key);
    }

    /** Request that ended after the given time. */
    private record Ended(String id, String target, Outcome outcome, long tookMs) {}

    private void finish(Tally tally, Ended ended) {
        tally.count(ended.id(), ended.outcome(), ended.tookMs() > settings.deadlineMs() + ROUND_TRIP_MS);
        switch (ended.outcome()) {
            case Outcome.Wrong wrong -> log(LoadEvent.WRONG_ANSWER, ended, "a router", wrong.detail());
            case Outcome.Dropped dropped -> log(LoadEvent.DROPPED, ended, "a router", dropped.detail());
            case Outcome.NotSent notSent -> log(LoadEvent.DROPPED, ended, "any router", notSent.detail());
            case Outcome.Whole ignored -> {}
            case Outcome.Refused ignored -> {}
        }
    }

    private static void log(LoadEvent event, Ended ended, String where, String detail) {
        LOG.write(event, ended.id(), ended.target(), where, detail);
    }
}
