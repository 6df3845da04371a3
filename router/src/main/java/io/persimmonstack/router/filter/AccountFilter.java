package io.persimmonstack.router.filter;

import com.codahale.metrics.Timer;
import io.persimmonstack.router.RouterMetrics;
import io.persimmonstack.router.request.CallerGoneException;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;

/** Measures the total time of requests and counts their outcomes. Runs first, so that it sees how all others end. */
public final class AccountFilter implements Filter {
    private final RouterMetrics metrics;

    private AccountFilter(RouterMetrics metrics) {
        this.metrics = metrics;
    }

    /** Returns a filter that reports to the given metrics. */
    public static AccountFilter of(RouterMetrics metrics) {
        return new AccountFilter(metrics);
    }

    @Override
    public String name() {
        return "account";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        try (Timer.Context ignored = metrics.totalTime().time()) {
            next.proceed(request);
            metrics.answered().inc();
        } catch (RefusalException e) {
            metrics.countRefusal(e.refusal().code());
            throw e;
        } catch (CallerGoneException | InterruptedException e) {
            metrics.callersGone().inc();
            throw e;
        }
    }
}
