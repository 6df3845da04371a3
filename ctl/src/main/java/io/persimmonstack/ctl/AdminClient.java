package io.persimmonstack.ctl;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.persimmonstack.backends.http.HttpCall;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpRequest;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.tls.TlsContexts;
import io.persimmonstack.wire.PeerAddress;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads lists from the admin ports of routers and coordinators. A port that cannot be read is reported and skipped.
 *
 * @param addresses admin addresses, each {@code ip:port}
 * @param options connection options, such as TLS
 * @param err stream on which ports that cannot be read are reported
 */
public record AdminClient(List<String> addresses, HttpConnectorOptions options, PrintStream err) {
    private static final int STATUS_OK = 200;
    private static final int MAX_PAGE_BYTES = 4 << 20;
    /** Timeouts for connecting, for the first byte and between bytes, in milliseconds. */
    private static final HttpTimeouts TIMEOUTS = HttpTimeouts.of(1_000, 2_000, 2_000);

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    /**
     * Creates a client for the admin ports in the settings. It uses TLS if the settings name certificate authorities.
     *
     * @param settings admin addresses and certificate authorities
     * @param err stream on which ports that cannot be read are reported
     * @return the client
     * @throws ProgramException if the file with the authorities cannot be used
     */
    public static AdminClient of(CtlSettings settings, PrintStream err) throws ProgramException {
        HttpConnectorOptions options = HttpConnectorOptions.defaults();
        if (settings.adminAuthorities().isPresent()) {
            options = options.withTls(
                    TlsContexts.trusting(settings.adminAuthorities().get()));
        }
        return new AdminClient(settings.admins(), options, err);
    }

    /**
     * Reads the same page from all ports, one after another. A port that answers with a status other than 200 is
     * skipped without a report.
     *
     * @param path path of a page that is a JSON list
     * @param type class of the list elements
     * @param <T> type of the list elements
     * @return the elements of all pages, in the order of the addresses
     */
    public <T extends Record> List<T> read(String path, Class<T> type) {
        List<T> elements = new ArrayList<>();
        try (HttpConnector connector = HttpConnector.create(options)) {
            addresses.forEach(address -> elements.addAll(readPage(connector, address, path, type)));
        }
        return elements;
    }

    private <T> List<T> readPage(HttpConnector connector, String address, String path, Class<T> type) {
        JavaType listType = MAPPER.getTypeFactory().constructCollectionType(List.class, type);
        try (HttpCall call = connector.open(PeerAddress.parse(address), HttpRequest.get(path), TIMEOUTS)) {
            byte[] body = call.readAll(MAX_PAGE_BYTES);
            return call.status() == STATUS_OK ? MAPPER.readValue(body, listType) : List.of();
        } catch (HttpFailure | IOException e) {
            err.println(address + ": no answer: " + e.getMessage());
            return List.of();
        }
    }
}
