package io.persimmonstack.standin.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.standin.engine.EngineApiMessages.ChatRequest;
import io.persimmonstack.standin.engine.EngineApiMessages.EngineStateBody;
import io.persimmonstack.standin.engine.EngineApiMessages.ErrorBody;
import io.persimmonstack.standin.engine.EngineApiMessages.ListedModel;
import io.persimmonstack.standin.engine.EngineApiMessages.ModelList;
import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultOrder;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.fault.SilentConnectionException;
import io.persimmonstack.standin.hosts.HostedTarget;
import io.persimmonstack.standin.http.StandinExchange;
import io.persimmonstack.standin.http.StandinHandler;
import io.persimmonstack.standin.ledger.ReplicaTracker;
import io.persimmonstack.standin.ledger.RunTracker;
import io.persimmonstack.standin.weights.WeightTransferSimulator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** Stand-in of a model engine that serves load orders and OpenAI chat completions with continuous batching. */
public final class EngineStandin implements StandinHandler, HostedTarget {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private final String name;
    private final EngineGroup settings;
    private final RunTracker runTracker;
    private final FaultInjector faults = FaultInjector.of(
            FaultType.SILENT,
            FaultType.CRASH_LOADS,
            FaultType.SLOW_LOADS,
            FaultType.DIE,
            FaultType.CROSS_ANSWERS,
            FaultType.LATE_ANSWERS,
            FaultType.RESET_MIDWAY);
    private final EngineMemory memory;
    private final EngineCounters counters = new EngineCounters();
    private final EngineOrderHandler orderHandler;
    private final ConcurrencyLimiter limiter;
    private final ChatCompletionWriter completionWriter;
    /** Answer to the previous request, which the fault CROSS_ANSWERS sends instead of the right one. */
    private final AtomicReference<ChatCompletionWriter.GeneratedAnswer> previousAnswer = new AtomicReference<>();

    private volatile boolean leaving;
    private volatile boolean gone;

    private EngineStandin(
            String name,
            EngineGroup settings,
            WeightTransferSimulator transfers,
            ReplicaTracker replicaTracker,
            RunTracker runTracker) {
        this.name = name;
        this.settings = settings;
        this.runTracker = runTracker;
        this.memory = new EngineMemory(settings.memoryBytes(), settings.fencing(), replicaTracker);
        this.orderHandler = new EngineOrderHandler(settings, memory, transfers, faults, counters);
        this.limiter = new ConcurrencyLimiter(settings.maxConcurrent(), settings.maxQueued());
        this.completionWriter = new ChatCompletionWriter(settings, faults, this::isDead);
        faults.setChangeListener(this::clearMemoryIfDead);
    }

    /**
     * Returns an engine without loaded models.
     *
     * @param name name of the runner
     * @param settings settings of its engine group
     * @param transfers simulator of the transfers from the weight store
     * @param replicaTracker counts the replicas on all engines
     * @param runTracker records the runs on all targets
     */
    public static EngineStandin create(
            String name,
            EngineGroup settings,
            WeightTransferSimulator transfers,
            ReplicaTracker replicaTracker,
            RunTracker runTracker) {
        EngineStandin engine = new EngineStandin(name, settings, transfers, replicaTracker, runTracker);
        settings.cached().forEach(version -> engine.memory.addToDiskCache(ModelVersion.parse(version)));
        return engine;
    }

    /** Returns the fault injector of this stand-in. */
    public FaultInjector faults() {
        return faults;
    }

    /** Returns the body of {@code GET /ledger}: the counters of this engine. */
    public Record ledger() {
        return counters.toBody(name, settings.memoryBytes(), memory);
    }

    @Override
    public void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    @Override
    public void setGone(boolean isGone) {
        gone = isGone;
        clearMemoryIfDead();
    }

    /** Returns whether the engine is dead, by the fault DIE or because its host is gone. */
    private boolean isDead() {
        return gone || faults.activeFault(FaultType.DIE).isPresent();
    }

    private void clearMemoryIfDead() {
        if (isDead()) {
            memory.clear();
        }
    }

    @Override
    public void handle(StandinExchange exchange) throws IOException, InterruptedException {
        if (faults.serveControlRequest(exchange, this::ledger)) {
            return;
        }
        if (isDead()) {
            throw new IOException("the engine is dead by an injected fault or because its host is gone");
        }
        try {
            route(exchange);
        } catch (IllegalArgumentException e) {
            exchange.respond(BAD_REQUEST, ErrorBody.of(e.getMessage(), "bad_request"));
        }
    }

    private void route(StandinExchange exchange) throws IOException, InterruptedException {
        if (exchange.route().contains(" /orders/") && !isAuthorised(exchange)) {
            exchange.respond(UNAUTHORIZED, ErrorBody.of(name + " does not know the token", "unauthorized"));
            return;
        }
        switch (exchange.route()) {
            case "GET /orders/state" -> exchange.respond(OK, engineState());
            case "POST /orders/load" -> orderHandler.handleLoad(exchange);
            case "POST /orders/unload" -> orderHandler.handleUnload(exchange);
            case "GET /v1/models" -> exchange.respond(OK, modelList());
            case "POST /v1/chat/completions" -> serveChat(exchange);
            default -> exchange.respond(NOT_FOUND, ErrorBody.of(exchange.route() + ": unknown", "not_found"));
        }
    }

    private boolean isAuthorised(StandinExchange exchange) {
        return settings.orderToken()
                .map(token -> exchange.header("Authorization").equals(Optional.of("Bearer " + token)))
                .orElse(true);
    }

    /**
     * Serves a chat completion. If the connection is silenced, blocks only after the request has released its slot in
     * the batch and its model, so that they are available to other requests.
     */
    private void serveChat(StandinExchange exchange) throws IOException, InterruptedException {
        try {
            runChat(exchange);
        } catch (SilentConnectionException e) {
            faults.blockUntilInterrupted();
        }
    }

    /** Runs a chat completion if the engine is not leaving and the model is loaded. */
    private void runChat(StandinExchange exchange) throws IOException, InterruptedException {
        String requestId = exchange.header("X-Request-Id").orElse("");
        ChatRequest request = exchange.parseBody(ChatRequest.class)
                .filter(body -> body.model() != null)
                .orElseThrow(() -> new IllegalArgumentException("body: expected a chat completion with a model"));
        exchange.setHeader("X-Request-Id", requestId);
        settings.announcedVersion().ifPresent(version -> exchange.setHeader("X-Software-Version", version));
        if (leaving) {
            exchange.setHeader("X-Leaving", "true");
            exchange.respond(SERVICE_UNAVAILABLE, ErrorBody.of(name + " is leaving", "leaving"));
            return;
        }
        ModelName modelName = ModelName.parse(request.model());
        Optional<Replica> replica = memory.beginRequest(modelName.base(), modelName.adapter());
        if (replica.isEmpty()) {
            exchange.respond(NOT_FOUND, ErrorBody.of(request.model() + " is not loaded", "model_not_found"));
            return;
        }
        try {
            runInBatch(exchange, new ChatCompletionWriter.GeneratedAnswer(requestId, request));
        } finally {
            memory.endRequest(replica.get());
        }
    }

    /** Waits for a slot in the batch and generates the answer; responds with 429 if the queue is full. */
    private void runInBatch(StandinExchange exchange, ChatCompletionWriter.GeneratedAnswer ownAnswer)
            throws IOException, InterruptedException {
        if (!limiter.acquire()) {
            exchange.respond(TOO_MANY_REQUESTS, ErrorBody.of(name + " is full", "full"));
            return;
        }
        boolean completed = false;
        try {
            completed = generate(exchange, ownAnswer);
        } finally {
            limiter.release();
            (completed ? counters.requestsCompleted : counters.requestsFailed).incrementAndGet();
        }
    }

    /** Generates and sends the answer to a request that runs in the batch; returns true once it responded in full. */
    private boolean generate(StandinExchange exchange, ChatCompletionWriter.GeneratedAnswer ownAnswer)
            throws IOException, InterruptedException {
        Optional<Integer> resumeFrom = exchange.header("X-Resume-From").map(Integer::parseInt);
        if (resumeFrom.isPresent() && !settings.resumes()) {
            exchange.respond(CONFLICT, ErrorBody.of(name + " cannot resume", "cannot_resume"));
            return true;
        }
        counters.requestsStarted.incrementAndGet();
        if (resumeFrom.isPresent()) {
            counters.streamsResumed.incrementAndGet();
        } else {
            runTracker.recordRun(
                    new RunTracker.Run(name, exchange.header("X-Request-Id"), exchange.header("Idempotency-Key")));
        }
        Optional<FaultOrder> lateAnswers = faults.trigger(FaultType.LATE_ANSWERS);
        if (lateAnswers.isPresent()) {
            Thread.sleep(lateAnswers.get().delayMs());
        }
        ChatCompletionWriter.GeneratedAnswer answer = selectAnswer(exchange, ownAnswer);
        if (Boolean.TRUE.equals(ownAnswer.request().stream())) {
            completionWriter.writeStream(exchange, answer, resumeFrom.orElse(0));
        } else {
            completionWriter.writeWhole(exchange, answer);
        }
        return true;
    }

    /** Returns the answer to send: that of the previous request if the fault CROSS_ANSWERS applies, else the own. */
    private ChatCompletionWriter.GeneratedAnswer selectAnswer(
            StandinExchange exchange, ChatCompletionWriter.GeneratedAnswer ownAnswer) {
        ChatCompletionWriter.GeneratedAnswer previous = previousAnswer.getAndSet(ownAnswer);
        if (previous == null || faults.trigger(FaultType.CROSS_ANSWERS).isEmpty()) {
            return ownAnswer;
        }
        exchange.setHeader("X-Request-Id", previous.requestId());
        return previous;
    }

    private EngineStateBody engineState() {
        return new EngineStateBody(
                name,
                settings.memoryBytes(),
                memory.usedBytes(),
                settings.maxConcurrent(),
                limiter.inFlight(),
                limiter.queued(),
                settings.fencing(),
                memory.highestFencingToken(),
                leaving,
                memory.modelBodies(),
                memory.cachedBodies(),
                settings.announcedVersion().orElse(null));
    }

    private ModelList modelList() {
        List<ListedModel> loadedModels = new ArrayList<>();
        for (EngineApiMessages.ModelBody model : memory.modelBodies()) {
            if (model.state().equals("loaded")) {
                String base = model.model() + "@" + model.version();
                loadedModels.add(new ListedModel(base, "model", name));
                model.adapters()
                        .forEach(adapter -> loadedModels.add(new ListedModel(base + "+" + adapter, "model", name)));
            }
        }
        return new ModelList("list", loadedModels);
    }

    /**
     * Model name of a request: {@code model@version} or {@code model@version+adapter}; the adapter is null if absent.
     */
    private record ModelName(ModelVersion base, String adapter) {
        static ModelName parse(String text) {
            int plus = text.indexOf('+', Math.max(0, text.indexOf('@')));
            return plus < 0
                    ? new ModelName(ModelVersion.parse(text), null)
                    : new ModelName(ModelVersion.parse(text.substring(0, plus)), text.substring(plus + 1));
        }
    }
}
