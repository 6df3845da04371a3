package io.persimmonstack.router.filter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.context.Context;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.admission.Placer;
import io.persimmonstack.router.admission.RetryBudget;
import io.persimmonstack.router.request.AttemptException;
import io.persimmonstack.router.request.CallerMessage;
import io.persimmonstack.router.request.Grant;
import io.persimmonstack.router.request.Ran;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.TargetFilter;
import io.persimmonstack.router.request.Work;
import io.persimmonstack.router.snapshot.FleetView;
import io.persimmonstack.router.snapshot.Target;
import io.persimmonstack.runtime.trace.Tracing;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RetryFilterTest {
    private static final Work WORK = new Work.ServiceCall("map", "/");
    private static final Target TARGET =
            new Target("m1", new PeerAddress("127.0.0.1", 1), "z1", "r1", 1, false, Set.of(), Optional.empty());
    private static final FleetView VIEW = new FleetView(
            "c",
            1,
            FleetConfiguration.empty(),
            List.of(),
            List.of(),
            Map.of(),
            Map.of(),
            Map.of("map", List.of(TARGET)));

    /** Fails each attempt. */
    private record FailingFilter(AttemptException.Kind kind) implements Filter {
        @Override
        public String name() {
            return "failing";
        }

        @Override
        public void handle(Request request, FilterChain next) throws AttemptException {
            throw new AttemptException(kind, "failed", null);
        }
    }

    private static RefusalException refusalAfter(AttemptException.Kind kind, Request request) {
        RetryFilter filter = RetryFilter.of(RetryBudget.full(), RouterMetrics.of(new MetricRegistry()));
        try (Tracing tracing = Tracing.of("test")) {
            FilterChain chain = FilterChain.of(List.of(filter, new FailingFilter(kind)), tracing);
            return assertThrows(RefusalException.class, () -> chain.proceed(request));
        }
    }

    /** Returns a request with a reservation, whose deadline has passed. */
    private static Request lateRequest() {
        CallerMessage message = new CallerMessage("GET", "/services/map/", "", Map.of(), new byte[0]);
        Request request = Request.arrived("e1-1", message, null, Context.root());
        request.grant(new Grant("map", WORK, 0, 1_000, true));
        request.setPriorityAndDeadline(0, System.nanoTime());
        request.reservation(
                Placer.of("z1", "r1").reserve(WORK, VIEW, TargetFilter.any()).orElseThrow());
        return request;
    }

    /** Callers used to be told that no target could take the request. */
    @Test
    void requestWhoseDeadlinePassedBeforeItWasSentIsRefusedForItsDeadline() {
        RefusalException refused = refusalAfter(AttemptException.Kind.EXPIRED, lateRequest());
        assertEquals(RefusalCode.DEADLINE, refused.refusal().code());
        assertEquals(Ran.NO, refused.refusal().ran());
    }

    @Test
    void requestThatCouldNotBeSentIsRefusedForWantOfATarget() {
        RefusalException refused = refusalAfter(AttemptException.Kind.NOT_SENT, lateRequest());
        assertEquals(RefusalCode.NO_TARGET, refused.refusal().code());
        assertEquals(Ran.NO, refused.refusal().ran());
    }
}
