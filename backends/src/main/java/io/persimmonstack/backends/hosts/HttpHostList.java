package io.persimmonstack.backends.hosts;

import io.persimmonstack.backends.BackendEvent;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.json.JsonClient;
import io.persimmonstack.backends.json.JsonResponse;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.wire.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** Reads the host list over HTTP. If the service sends entity tags, an unchanged list is not transferred again. */
public final class HttpHostList implements HostList {
    private static final EventLog LOG = EventLog.of(HttpHostList.class);
    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final String PATH = "/hosts";
    private final JsonClient client;
    private final PeerAddress endpoint;
    private final AtomicReference<Optional<CachedList>> cachedList = new AtomicReference<>(Optional.empty());

    /**
     * Last list that was read.
     *
     * @param entityTag entity tag of the response
     * @param hosts hosts in the list
     */
    private record CachedList(String entityTag, List<Host> hosts) {}

    private HttpHostList(JsonClient client, PeerAddress endpoint) {
        this.client = client;
        this.endpoint = endpoint;
    }

    /**
     * Returns a client of the host list.
     *
     * @param connector opens the HTTP calls
     * @param endpoint address of the host list service
     * @param timeouts timeouts of each call
     */
    public static HttpHostList of(HttpConnector connector, PeerAddress endpoint, HttpTimeouts timeouts) {
        return new HttpHostList(JsonClient.of(connector, timeouts, MAX_RESPONSE_BYTES), endpoint);
    }

    @Override
    public List<Host> hosts() throws HostListException {
        Optional<CachedList> cached = cachedList.get();
        JsonResponse response = read(cached);
        if (response.status() == NOT_MODIFIED && cached.isPresent()) {
            return cached.get().hosts();
        }
        List<Host> hosts = parse(response);
        cachedList.set(response.entityTag().map(tag -> new CachedList(tag, hosts)));
        return hosts;
    }

    private JsonResponse read(Optional<CachedList> cached) throws HostListException {
        try {
            return cached.isPresent()
                    ? client.getIfChanged(endpoint, PATH, cached.get().entityTag())
                    : client.get(endpoint, PATH);
        } catch (HttpFailure e) {
            throw new HostListException(e.getMessage(), e);
        }
    }

    private List<Host> parse(JsonResponse response) throws HostListException {
        Optional<HostsBody> body = response.status() == OK ? response.bind(HostsBody.class) : Optional.empty();
        if (body.isEmpty() || body.get().hosts() == null) {
            throw new HostListException("GET " + endpoint + PATH + ": " + response + "; expected a list of hosts");
        }
        List<Host> hosts = new ArrayList<>();
        for (HostBody host : body.get().hosts()) {
            toHost(host).ifPresent(hosts::add);
        }
        return List.copyOf(hosts);
    }

    /** Converts an entry; one that cannot be used is left out, so that it does not keep the others from being used. */
    private static Optional<Host> toHost(HostBody body) {
        try {
            return Optional.of(new Host(
                    requireField("host", body.host()),
                    HostKind.valueOf(requireField("kind", body.kind()).toUpperCase(Locale.ROOT)),
                    HostState.valueOf(requireField("state", body.state()).toUpperCase(Locale.ROOT)),
                    PeerAddress.parseConnectable(requireField("address", body.address())),
                    requireField("zone", body.zone()),
                    requireField("region", body.region()),
                    Optional.ofNullable(body.service()),
                    Boolean.TRUE.equals(body.epochs())));
        } catch (IllegalArgumentException e) {
            LOG.write(BackendEvent.HOST_UNREADABLE, body, e.getMessage());
            return Optional.empty();
        }
    }

    private static String requireField(String field, String value) {
        if (value == null) {
            throw new IllegalArgumentException(field + ": missing; expected a string");
        }
        return value;
    }

    /** JSON body of the host list; the component names are the field names on the wire. */
    private record HostsBody(List<HostBody> hosts) {}

    /** JSON body of one host; {@code epochs} says whether the target refuses orders with a stale fencing token. */
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
