package io.persimmonstack.router.filter;

import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.configuration.ServicePolicy;
import io.persimmonstack.coordination.model.ModelVersion;
import io.persimmonstack.router.request.CallerMessage;
import io.persimmonstack.router.request.ChatBody;
import io.persimmonstack.router.request.Grant;
import io.persimmonstack.router.request.ModelName;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.FleetViews;
import io.persimmonstack.runtime.NearestMatch;
import java.util.List;
import java.util.Optional;

/**
 * Finds the deployment or service policy that permits the caller's request and sets what it grants. Refuses unknown
 * models and services and callers without permission.
 */
public final class AuthoriseFilter implements Filter {
    private final FleetViews views;

    private AuthoriseFilter(FleetViews views) {
        this.views = views;
    }

    /** Returns a filter that authorises against the configuration in the current fleet view. */
    public static AuthoriseFilter of(FleetViews views) {
        return new AuthoriseFilter(views);
    }

    @Override
    public String name() {
        return "authorise";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        FleetConfiguration configuration = views.current().configuration();
        Optional<ChatBody> body = request.chatBody();
        Grant grant = body.isPresent()
                ? completionGrant(request, body.get(), configuration)
                : serviceCallGrant(request, configuration);
        request.grant(grant);
        next.proceed(request);
    }

    private static Grant completionGrant(Request request, ChatBody body, FleetConfiguration configuration)
            throws RefusalException {
        ModelName name = body.model();
        Deployment deployment = findDeployment(request, name, configuration);
        String version = name.version().orElse(deployment.versions().get(0));
        ModelVersion model = ModelVersion.of(name.model(), version);
        String resolvedModel =
                model + name.adapter().map(adapter -> '+' + adapter).orElse("");
        Work work = new Work.Completion(
                model,
                name.adapter(),
                body.stream(),
                body.prefixHash(),
                body.promptParts(),
                body.withModel(resolvedModel));
        boolean repeatable = request.message().header("idempotency-key").isEmpty();
        return new Grant(deployment.name(), work, deployment.priority(), deployment.maxDeadlineMs(), repeatable);
    }

    /** Returns the first deployment that permits the model, or the one named in {@code X-Deployment}; else refuses. */
    private static Deployment findDeployment(Request request, ModelName name, FleetConfiguration configuration)
            throws RefusalException {
        List<String> models =
                configuration.deployments().stream().map(Deployment::model).toList();
        if (!models.contains(name.model())) {
            String detail =
                    "model '" + name.model() + "': no deployment has it" + NearestMatch.hint(name.model(), models);
            throw Refusal.notRun(RefusalCode.UNKNOWN_MODEL, detail).exception();
        }
        Optional<String> requestedDeployment = request.message().header("x-deployment");
        return configuration.deploymentsFor(request.caller(), name.model()).stream()
                .filter(deployment -> requestedDeployment.isEmpty()
                        || requestedDeployment.get().equals(deployment.name()))
                .filter(deployment -> serves(deployment, name))
                .findFirst()
                .orElseThrow(() -> notAuthorised(request, name, requestedDeployment));
    }

    /** Returns whether a deployment offers the requested version and adapter; none requested matches any. */
    private static boolean serves(Deployment deployment, ModelName name) {
        boolean versionMatches = name.version().isEmpty()
                || deployment.versions().contains(name.version().get());
        boolean adapterMatches = name.adapter().isEmpty()
                || deployment.adapters().contains(name.adapter().get());
        return versionMatches && adapterMatches && !deployment.versions().isEmpty();
    }

    private static RefusalException notAuthorised(
            Request request, ModelName name, Optional<String> requestedDeployment) {
        String detail = "caller '%s': no deployment%s grants model '%s'%s%s"
                .formatted(
                        request.caller(),
                        requestedDeployment.map(text -> " '" + text + "'").orElse(""),
                        name.model(),
                        name.version().map(text -> " in version '" + text + "'").orElse(""),
                        name.adapter()
                                .map(text -> " with adapter '" + text + "'")
                                .orElse(""));
        return Refusal.notRun(RefusalCode.NOT_AUTHORISED, detail).exception();
    }

    /** Splits the path into the service name and the path to request from it, and checks the service policy. */
    private static Grant serviceCallGrant(Request request, FleetConfiguration configuration) throws RefusalException {
        CallerMessage message = request.message();
        String servicePath = message.path().substring(ReceiveFilter.SERVICES_PREFIX.length());
        int slash = servicePath.indexOf('/');
        String service = slash < 0 ? servicePath : servicePath.substring(0, slash);
        String path = slash < 0 ? "/" : servicePath.substring(slash);
        String query = message.query().isEmpty() ? "" : '?' + message.query();
        ServicePolicy policy = configuration.service(service).orElseThrow(() -> unknownService(service, configuration));
        if (!policy.callers().contains(request.caller())) {
            String detail = "caller '" + request.caller() + "': may not use service '" + service + "'";
            throw Refusal.notRun(RefusalCode.NOT_AUTHORISED, detail).exception();
        }
        boolean repeatable =
                policy.repeatable() && message.header("idempotency-key").isEmpty();
        return new Grant(
                service,
                new Work.ServiceCall(service, path + query),
                policy.priority(),
                policy.maxDeadlineMs(),
                repeatable);
    }

    private static RefusalException unknownService(String service, FleetConfiguration configuration) {
        List<String> knownServices =
                configuration.services().stream().map(ServicePolicy::service).toList();
        String detail = "service '" + service + "': no policy names it" + NearestMatch.hint(service, knownServices);
        return Refusal.notRun(RefusalCode.UNKNOWN_SERVICE, detail).exception();
    }
}
