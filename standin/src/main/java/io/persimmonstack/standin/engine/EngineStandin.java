package io.persimmonstack.standin.engine;

import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.standin.engine.EngineApiMessages.ChatRequest;
import io.persimmonstack.standin.engine.EngineApiMessages.ErrorBody;
import io.persimmonstack.standin.engine.EngineApiMessages.ListedModel;
import io.persimmonstack.standin.engine.EngineApiMessages.ModelList;
import io.persimmonstack.standin.engine.EngineApiMessages.EngineStateBody;
import io.persimmonstack.standin.fault.FaultInjector;
import io.persimmonstack.standin.fault.FaultType;
import io.persimmonstack.standin.fault.FaultOrder;
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

/** Model engine: orders, continuous batching and OpenAI's chat completions. */
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
    private final AtomicReference<ChatCompletionWriter.GeneratedAnswer> previousAnswer = new AtomicReference<>();
    private volatile boolean leaving;
    private volatile boolean gone;

    private EngineStandin(
            String name, EngineGroup settings, WeightTransferSimulator transfers, ReplicaTracker replicaTracker, RunTracker runTracker) {
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
     * Returns an engine with nothing loaded.
     *
     * @param name name of the runner
     * @param settings settings of its group
     * @param transfers weight store that it orderHandler from
     * @param replicaTracker counts replicaTracker over all engines
     * @param runTracker counts runTracker over all targets
     */
    public static EngineStandin create(
            String name, EngineGroup settings, WeightTransferSimulator transfers, ReplicaTracker replicaTracker, RunTracker runTracker) {
        EngineStandin engine = new EngineStandin(name, settings, transfers, replicaTracker, runTracker);
        settings.cached().forEach(version -> engine.memory.addToDiskCache(ModelVersion.parse(version)));
        return engine;
    }

    /** Returns the faults of this stand-in. */
    public FaultInjector faults() {
        return faults;
    }

    /** Returns what this engine saw. */
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
            throw new IOException("the engine died by command");
        }
        try {
            route(exchange);
        } catch (IllegalArgumentException e) {
            exchange.answer(BAD_REQUEST, ErrorBody.of(e.getMessage(), "bad_request"));
        }
    }

    private void route(StandinExchange exchange) throws IOException, InterruptedException {
        if (exchange.route().contains(" /orders/") && !isAuthorised(exchange)) {
            exchange.answer(UNAUTHORIZED, ErrorBody.of(name + " does not know the token", "unauthorized"));
            return;
        }
        switch (exchange.route()) {
            case "GET /orders/state" -> exchange.answer(OK, engineState());
            case "POST /orders/load" -> orderHandler.handleLoad(exchange);
            case "POST /orders/unload" -> orderHandler.handleUnload(exchange);
            case "GET /v1/models" -> exchange.answer(OK, modelList());
            case "POST /v1/chat/completions" -> serveChat(exchange);
            default -> exchange.answer(NOT_FOUND, ErrorBody.of(exchange.route() + ": unknown", "not_found"));
        }
    }

    private boolean isAuthorised(StandinExchange exchange) {
        return settings.orderToken()
                .map(token -> exchange.header("Authorization").equals(Optional.of("Bearer " + token)))
                .orElse(true);
    }

    /** The engine goes on without a caller whose connection is silent: its place and model are free again. */
    private void serveChat(StandinExchange exchange) throws IOException, InterruptedException {
        try {
            chat(exchange);
        } catch (SilentConnectionException e) {
            faults.blockUntilInterrupted();
        }
    }

    private void chat(StandinExchange exchange) throws IOException, InterruptedException {
        String requestId = exchange.header("X-Request-Id").orElse("");
        ChatRequest request = exchange.parseBody(ChatRequest.class)
                .filter(body -> body.model() != null)
                .orElseThrow(() -> new IllegalArgumentException("body: expected a chat completion with a model"));
        exchange.addHeader("X-Request-Id", requestId);
        if (leaving) {
            exchange.addHeader("X-Leaving", "true");
            exchange.answer(SERVICE_UNAVAILABLE, ErrorBody.of(name + " is leaving", "leaving"));
            return;
        }
        ModelName modelName = ModelName.parse(request.model());
        Optional<Replica> replica = memory.beginRequest(modelName.base(), modelName.adapter());
        if (replica.isEmpty()) {
            exchange.answer(NOT_FOUND, ErrorBody.of(request.model() + " is not loaded", "model_not_found"));
            return;
        }
        try {
            runInBatch(exchange, new ChatCompletionWriter.GeneratedAnswer(requestId, request));
        } finally {
            memory.endRequest(replica.get());
        }
    }

    private void runInBatch(StandinExchange exchange, ChatCompletionWriter.GeneratedAnswer ownAnswer) throws IOException, InterruptedException {
        if (!limiter.acquire()) {
            exchange.answer(TOO_MANY_REQUESTS, ErrorBody.of(name + " is full", "full"));
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

    private boolean generate(StandinExchange exchange, ChatCompletionWriter.GeneratedAnswer ownAnswer) throws IOException, InterruptedException {
        Optional<Integer> resumeFrom = exchange.header("X-Resume-From").map(Integer::parseInt);
        if (resumeFrom.isPresent() && !settings.resumes()) {
            exchange.answer(CONFLICT, ErrorBody.of(name + " cannot resume", "cannot_resume"));
            return true;
        }
        counters.requestsStarted.incrementAndGet();
        if (resumeFrom.isPresent()) {
            counters.streamsResumed.incrementAndGet();
        } else {
            runTracker.recordRun(new RunTracker.Run(name, exchange.header("X-Request-Id"), exchange.header("Idempotency-Key")));
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

    private ChatCompletionWriter.GeneratedAnswer selectAnswer(StandinExchange exchange, ChatCompletionWriter.GeneratedAnswer ownAnswer) {
        ChatCompletionWriter.GeneratedAnswer previous = previousAnswer.getAndSet(ownAnswer);
        if (previous == null || faults.trigger(FaultType.CROSS_ANSWERS).isEmpty()) {
            return ownAnswer;
        }
        exchange.addHeader("X-Request-Id", previous.requestId());
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
                memory.cachedBodies());
    }

    private ModelList modelList() {
        List<ListedModel> listed = new ArrayList<>();
        for (EngineApiMessages.ModelBody model : memory.modelBodies()) {
            if (model.state().equals("loaded")) {
                String base = model.model() + "@" + model.version();
                listed.add(new ListedModel(base, "model", name));
                model.adapters().forEach(adapter -> listed.add(new ListedModel(base + "+" + adapter, "model", name)));
            }
        }
        return new ModelList("list", listed);
    }

    /** Model name of a request, {@code model@version} or {@code model@version+adapter}. */
    private record ModelName(ModelVersion base, String adapter) {
        static ModelName parse(String text) {
            int plus = text.indexOf('+', Math.max(0, text.indexOf('@')));
            return plus < 0
                    ? new ModelName(ModelVersion.parse(text), null)
                    : new ModelName(ModelVersion.parse(text.substring(0, plus)), text.substring(plus + 1));
        }
    }
}
