package io.persimmonstack.runtime.tls;

import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.event.FrameEvent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Supplies the content of files and reloads it when the modification time of one of them changes. If the new content
 * cannot be read, the previous one stays in use until the files change again. Thread-safe.
 *
 * <pre>{@code
 * Supplier<String> token = closer.add(ReloadedFiles.start("token", List.of(file), 5_000, () -> read(file)));
 * }</pre>
 *
 * @param <T> type of the content
 */
public final class ReloadedFiles<T> implements Supplier<T>, AutoCloseable {
    private static final EventLog LOG = EventLog.of(ReloadedFiles.class);

    /**
     * Function that reads the files.
     *
     * @param <T> type of the content
     */
    public interface Reader<T> {
        /**
         * Reads the files.
         *
         * @return the content
         * @throws IOException if a file cannot be read
         * @throws GeneralSecurityException if a file contains no valid keys or certificates
         */
        T read() throws IOException, GeneralSecurityException;
    }

    private final List<Path> files;
    private final int reloadMs;
    private final Reader<T> reader;
    private final AtomicReference<T> content;
    private final Thread thread = Thread.ofVirtual().name("file-reload").unstarted(this::checkPeriodically);
    /** Modification times of the files at the last attempt to read them, in the order of the files. */
    private List<FileTime> lastReadTimes;

    private ReloadedFiles(List<Path> files, int reloadMs, Reader<T> reader)
            throws IOException, GeneralSecurityException {
        this.files = files;
        this.reloadMs = reloadMs;
        this.reader = reader;
        this.lastReadTimes = modificationTimes();
        this.content = new AtomicReference<>(reader.read());
    }

    /**
     * Reads the files and starts a thread that checks them for changes.
     *
     * @param key settings key of the first file, for error messages
     * @param files files to check for changes
     * @param reloadMs interval between checks, in milliseconds
     * @param reader function that reads the files
     * @param <T> type of the content
     * @return the supplier of the content; closing it ends the checks
     * @throws ProgramException if the first read fails
     */
    public static <T> ReloadedFiles<T> start(String key, List<Path> files, int reloadMs, Reader<T> reader)
            throws ProgramException {
        try {
            ReloadedFiles<T> reloaded = new ReloadedFiles<>(files, reloadMs, reader);
            reloaded.thread.start();
            return reloaded;
        } catch (IOException | GeneralSecurityException e) {
            throw new ProgramException(key + " " + files.get(0) + ": not usable: " + e, e);
        }
    }

    /** Returns the content of the last successful read. */
    @Override
    public T get() {
        return content.get();
    }

    private List<FileTime> modificationTimes() throws IOException {
        List<FileTime> times = new ArrayList<>();
        for (Path file : files) {
            times.add(Files.getLastModifiedTime(file));
        }
        return times;
    }

    private void checkPeriodically() {
        try {
            while (true) {
                Thread.sleep(reloadMs);
                reloadChanged();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reloads the content if a file has changed since the last attempt. A failure is logged. */
    private void reloadChanged() {
        try {
            List<FileTime> times = modificationTimes();
            if (times.equals(lastReadTimes)) {
                return;
            }
            lastReadTimes = times;
            content.set(reader.read());
            LOG.write(FrameEvent.FILES_RELOADED, files);
        } catch (IOException | GeneralSecurityException e) {
            LOG.write(FrameEvent.RELOAD_FAILED, files, e.toString());
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
