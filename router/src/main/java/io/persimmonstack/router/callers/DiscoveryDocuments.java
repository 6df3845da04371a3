package io.persimmonstack.router.callers;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.router.snapshot.FleetView;
import io.persimmonstack.router.snapshot.RouterEntry;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;

/** JSON documents that list the routers and models available to callers. */
final class DiscoveryDocuments {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private DiscoveryDocuments() {}

    /**
     * Lists the routers that callers may connect to.
     *
     * @param view current fleet view
     * @param leavingNode node to omit because it is leaving, or an empty string
     * @param keepForMs time for which callers may cache the list
     * @return JSON in UTF-8
     */
    static byte[] addresses(FleetView view, String leavingNode, int keepForMs) {
        ObjectNode document = MAPPER.createObjectNode();
        ArrayNode addresses = document.putArray("addresses");
        for (RouterEntry router : view.routers()) {
            if (!router.node().equals(leavingNode)) {
                ObjectNode entry = addresses.addObject();
                entry.put("address", router.callersAddress());
                entry.put("zone", router.zone());
            }
        }
        document.put("keepForMs", keepForMs);
        return encode(document);
    }

    /** Lists the models and adapters that a caller may use, in the format of the OpenAI API. */
    static byte[] models(FleetView view, String caller) {
        Set<String> names = new TreeSet<>();
        view.configuration().deployments().stream()
                .filter(deployment -> deployment.admits(caller))
                .forEach(deployment -> addNames(deployment, names));
        ObjectNode document = MAPPER.createObjectNode();
        document.put("object", "list");
        ArrayNode data = document.putArray("data");
        for (String name : names) {
            data.addObject().put("id", name).put("object", "model").put("owned_by", "persimmonstack");
        }
        return encode(document);
    }

    private static void addNames(Deployment deployment, Set<String> names) {
        for (String version : deployment.versions()) {
            String model = deployment.model() + '@' + version;
            names.add(model);
            deployment.adapters().forEach(adapter -> names.add(model + '+' + adapter));
        }
    }

    private static byte[] encode(ObjectNode document) {
        return document.toString().getBytes(StandardCharsets.UTF_8);
    }
}
