package io.persimmonstack.router.request;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;

/** What a request asks a target to do. */
public sealed interface Work {
    /**
     * Returns the name of the model, adapter or service that does the work. Requests with the same name share a queue
     * and the measured service and load times.
     */
    String resourceName();

    /**
     * Chat completion by an engine that runs a model.
     *
     * @param model base model and version
     * @param adapter adapter to apply to the model, if any
     * @param stream whether the caller requested a streamed answer
     * @param prefixHash hash of the start of the prompt; equal hashes are preferably sent to the same target
     * @param promptParts identifiers of the messages of the prompt but the last one, in order
     * @param body body to send, with the model name resolved to its version
     */
    record Completion(
            ModelVersion model,
            Optional<String> adapter,
            boolean stream,
            long prefixHash,
            List<String> promptParts,
            byte[] body)
            implements Work {
        /** Copies the list. */
        public Completion {
            promptParts = List.copyOf(promptParts);
        }

        private static final char ADAPTER_SEPARATOR = '+';

        @Override
        public String resourceName() {
            return model + adapter.map(name -> ADAPTER_SEPARATOR + name).orElse("");
        }
    }

    /**
     * Call to a plain service.
     *
     * @param service name of the service
     * @param path path and query to request from an instance
     */
    record ServiceCall(String service, String path) implements Work {
        private static final String SERVICE_PREFIX = "service:";

        @Override
        public String resourceName() {
            return SERVICE_PREFIX + service;
        }
    }
}
