package io.persimmonstack.backends.weights;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpFailure;
import io.persimmonstack.backends.http.HttpTimeouts;
import io.persimmonstack.backends.json.JsonClient;
import io.persimmonstack.backends.json.JsonResponse;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Optional;

/** Reads the catalogue of the weight store over HTTP. */
public final class HttpWeightStore implements WeightStore {
    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    private static final int OK = 200;
    private final JsonClient client;
    private final PeerAddress endpoint;

    private HttpWeightStore(JsonClient client, PeerAddress endpoint) {
        this.client = client;
        this.endpoint = endpoint;
    }

    /**
     * Returns a client of the weight store.
     *
     * @param connector opens the HTTP calls
     * @param endpoint address of the weight store
     * @param timeouts timeouts of each call
     */
    public static HttpWeightStore of(HttpConnector connector, PeerAddress endpoint, HttpTimeouts timeouts) {
        return new HttpWeightStore(JsonClient.of(connector, timeouts, MAX_RESPONSE_BYTES), endpoint);
    }

    @Override
    public WeightCatalogue catalogue() throws WeightStoreException {
        JsonResponse response;
        try {
            response = client.get(endpoint, "/weights");
        } catch (HttpFailure e) {
            throw new WeightStoreException(e.getMessage(), e);
        }
        Optional<CatalogueBody> body = response.status() == OK ? response.bind(CatalogueBody.class) : Optional.empty();
        if (body.isEmpty() || body.get().weights() == null) {
            throw new WeightStoreException("GET " + endpoint + "/weights: " + response + "; expected a catalogue");
        }
        return toCatalogue(body.get());
    }

    private static WeightCatalogue toCatalogue(CatalogueBody body) throws WeightStoreException {
        try {
            List<Weight> weights =
                    body.weights().stream().map(HttpWeightStore::toWeight).toList();
            return new WeightCatalogue(body.loadsPerSecond(), body.fullSpeedLoads(), body.adaptersInFlight(), weights);
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new WeightStoreException("catalogue of the weight store: " + e.getMessage(), e);
        }
    }

    private static Weight toWeight(WeightBody body) {
        ModelVersion base = ModelVersion.of(body.model(), body.version());
        return new Weight(base, Optional.ofNullable(body.adapter()), body.bytes(), body.memoryBytes());
    }

    /** JSON body of the catalogue; the component names are the field names on the wire. */
    private record CatalogueBody(
            double loadsPerSecond, int fullSpeedLoads, int adaptersInFlight, List<WeightBody> weights) {}

    /** JSON body of one checkpoint or adapter. */
    private record WeightBody(String model, String version, String adapter, long bytes, long memoryBytes) {}
}
