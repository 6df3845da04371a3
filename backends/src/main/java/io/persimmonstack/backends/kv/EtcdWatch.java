package io.persimmonstack.backends.kv;

import com.codahale.metrics.Counter;
import io.persimmonstack.backends.BackendEvent;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.json.JsonResponse;
import io.persimmonstack.backends.kv.EtcdMessages.WatchEvent;
import io.persimmonstack.backends.kv.EtcdMessages.WatchLine;
import io.persimmonstack.backends.kv.EtcdMessages.WatchResult;
import io.persimmonstack.coordination.kv.KvSubscription;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.kv.KvWatcher;
import io.persimmonstack.runtime.event.EventLog;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Open watch. A virtual thread reads one JSON object per line and passes the changes on until the watch is closed, ends
 * or times out.
 */
final class EtcdWatch implements KvSubscription {
    private static final int MAX_LINE_BYTES = 64 << 20;
    private static final int OK = 200;
    private static final EventLog LOG = EventLog.of(EtcdWatch.class);
    private final HttpCall call;
    private final InputStream input;
    private final String prefix;
    private final KvWatcher watcher;
    private final Counter openWatches;
    private final AtomicBoolean closed = new AtomicBoolean();

    private EtcdWatch(HttpCall call, String prefix, KvWatcher watcher, Counter openWatches) {
        this.call = call;
        this.input = new BufferedInputStream(call.body());
        this.prefix = prefix;
        this.watcher = watcher;
        this.openWatches = openWatches;
    }

    /**
     * Waits until the service confirms the watch, then starts the reading thread. If that fails, the call is cancelled
     * and counts as failed.
     */
    static EtcdWatch start(HttpCall call, String prefix, KvWatcher watcher, KvCallGuard callGuard)
            throws KvUnavailableException {
        EtcdWatch watch = new EtcdWatch(call, prefix, watcher, callGuard.openWatches());
        try {
            watch.awaitCreated();
        } catch (IOException e) {
            call.cancel();
            throw callGuard.recordUnavailable("watch '" + prefix + "': " + e.getMessage(), e);
        }
        watch.openWatches.inc();
        Thread.ofVirtual().name("kv-watch").start(watch::run);
        return watch;
    }

    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            openWatches.dec();
            call.cancel();
        }
    }

    private void awaitCreated() throws IOException {
        if (call.status() != OK) {
            throw new IOException("status " + call.status() + "; expected 200");
        }
        if (!readResult().isCreated()) {
            throw new IOException("first line does not confirm the watch; expected \"created\":true");
        }
    }

    private void run() {
        try {
            while (true) {
                deliver(readResult());
            }
        } catch (IOException | RuntimeException e) {
            endWith(e);
        }
    }

    private void deliver(WatchResult result) throws IOException {
        if (result.isCanceled()) {
            throw new IOException("cancelled by the service");
        }
        if (result.events() == null) {
            return;
        }
        for (WatchEvent event : result.events()) {
            if (!closed.get()) {
                watcher.changed(event.toChange());
            }
        }
    }

    /** Reports the end of the watch unless it was closed by its owner. */
    private void endWith(Exception cause) {
        if (closed.compareAndSet(false, true)) {
            openWatches.dec();
            call.cancel();
            LOG.write(BackendEvent.WATCH_ENDED, prefix, cause.getMessage());
            watcher.ended(new KvUnavailableException("watch '" + prefix + "': " + cause.getMessage(), cause));
        }
    }

    private WatchResult readResult() throws IOException {
        byte[] line = readLine();
        Optional<WatchResult> result = JsonResponse.bind(line, WatchLine.class).map(WatchLine::result);
        return result.orElseThrow(() -> new IOException("line of " + line.length + " bytes is not a watch result"));
    }

    private byte[] readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            if (next == '\n') {
                return line.toByteArray();
            }
            if (line.size() == MAX_LINE_BYTES) {
                throw new IOException("line longer than " + MAX_LINE_BYTES + " bytes");
            }
            line.write(next);
        }
    }
}
