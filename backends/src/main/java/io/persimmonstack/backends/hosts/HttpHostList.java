package io.persimmonstack.backends.hosts;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.json.JsonAnswer;
import io.persimmonstack.backends.json.JsonClient;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** Reads the host list over HTTP; a list that has not changed is not sent again where the service has entity tags. */
public final class HttpHostList implements HostList {
    private static final int MAX_BYTES = 8 << 20;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final String PATH = "/hosts";
    private final JsonClient client;
    private final PeerAddress endpoint;
    private final AtomicReference<Optional<Known>> known = new AtomicReference<>(Optional.empty());

    /**
     * List as read last.
     *
     * @param entityTag names its state
     * @param hosts the hosts
     */
    private record Known(String entityTag, List<Host> hosts) {}

    private HttpHostList(JsonClient client, PeerAddress endpoint) {
        this.client = client;
        this.endpoint = endpoint;
    }

    /**
     * Returns an adapter.
     *
     * @param connector opens the calls
     * @param endpoint address of the service
     * @param timeouts longest waits
     */
    public static HttpHostList of(HttpConnector connector, PeerAddress endpoint, HttpTimeouts timeouts) {
        return new HttpHostList(JsonClient.of(connector, timeouts, MAX_BYTES), endpoint);
    }

    @Override
    public List<Host> hosts() throws HostListException {
        Optional<Known> before = known.get();
        JsonAnswer answer = read(before);
        if (answer.status() == NOT_MODIFIED && before.isPresent()) {
            return before.get().hosts();
        }
        List<Host> hosts = parse(answer);
        known.set(answer.entityTag().map(tag -> new Known(tag, hosts)));
        return hosts;
    }

    private JsonAnswer read(Optional<Known> before) throws HostListException {
        try {
            return before.isPresent()
                    ? client.getIfChanged(endpoint, PATH, before.get().entityTag())
                    : client.get(endpoint, PATH);
        } catch (HttpFailure e) {
            throw new HostListException(e.getMessage(), e);
        }
    }

    private List<Host> parse(JsonAnswer answer) throws HostListException {
        Optional<HostsBody> body = answer.status() == OK ? answer.bind(HostsBody.class) : Optional.empty();
        if (body.isEmpty() || body.get().hosts() == null) {
            throw new HostListException("GET " + endpoint + PATH + ": " + answer + "; expected a list of hosts");
        }
        List<Host> hosts = new ArrayList<>();
        for (HostBody host : body.get().hosts()) {
            hosts.add(convert(host));
        }
        return List.copyOf(hosts);
    }

    private static Host convert(HostBody body) throws HostListException {
        try {
            return new Host(
                    required("host", body.host()),
                    HostKind.valueOf(required("kind", body.kind()).toUpperCase(Locale.ROOT)),
                    HostState.valueOf(required("state", body.state()).toUpperCase(Locale.ROOT)),
                    PeerAddress.parse(required("address", body.address())),
                    required("zone", body.zone()),
                    required("region", body.region()),
                    Optional.ofNullable(body.service()),
                    Boolean.TRUE.equals(body.epochs()));
        } catch (IllegalArgumentException e) {
            throw new HostListException("host list entry " + body + ": " + e.getMessage(), e);
        }
    }

    private static String required(String field, String value) {
        if (value == null) {
            throw new IllegalArgumentException(field + ": missing; expected a text");
        }
        return value;
    }

    private record HostsBody(List<HostBody> hosts) {}

    private record HostBody(
            String host,
            String kind,
            String state,
            String address,
            String zone,
            String region,
            String service,
            Boolean epochs) {}
}
