package io.persimmonstack.router;

import io.persimmonstack.runtime.settings.Setting;
import io.persimmonstack.runtime.tls.TlsSettings;
import java.util.Optional;

/**
 * Settings of the port that callers connect to.
 *
 * @param keepForMs time in milliseconds for which callers may cache an answer of {@code /v1/addresses}
 * @param leaveMarginMs time in milliseconds for which other routers may still list this one after it began to leave
 * @param ioThreads number of I/O threads
 * @param maxBodyBytes largest body of a request in bytes
 * @param maxHeaderBytes largest total size of the headers of a request in bytes
 * @param maxHeaders largest number of headers of a request
 * @param receiveTimeoutMs longest time in milliseconds that a request may take to arrive completely
 * @param idleMs time in milliseconds after which a connection without a request is closed
 * @param slowCallerMs longest time in milliseconds that a caller may take to accept one write of its answer
 * @param tls certificate of the port, plain HTTP if absent
 */
public record CallersSettings(
        @Setting(min = 100, max = 600_000, fallback = "5000")
        int keepForMs,

        @Setting(min = 0, max = 600_000, fallback = "3000") int leaveMarginMs,
        @Setting(min = 1, max = 64, fallback = "2") int ioThreads,

        @Setting(min = 1_024, max = 67_108_864, fallback = "4194304")
        int maxBodyBytes,

        @Setting(min = 1_024, max = 1_048_576, fallback = "32768")
        int maxHeaderBytes,

        @Setting(min = 8, max = 1_000, fallback = "100") int maxHeaders,

        @Setting(min = 10, max = 600_000, fallback = "10000")
        int receiveTimeoutMs,

        @Setting(min = 10, max = 3_600_000, fallback = "60000")
        int idleMs,

        @Setting(min = 10, max = 600_000, fallback = "10000")
        int slowCallerMs,

        Optional<TlsSettings> tls) {}
