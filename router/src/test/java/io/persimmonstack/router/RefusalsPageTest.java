package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.runtime.admin.AdminServer;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Admin page with the latest refusals of a router. */
class RefusalsPageTest {
    private static final int MAX_KEPT = 1_024;
    private RouterFixture fixture;
    private AdminServer admin;

    @BeforeEach
    void start() throws Exception {
        fixture = RouterFixture.start(1);
        fixture.publish(fixture.fleet());
        admin = AdminServer.start("127.0.0.1", 0, fixture.context(0));
    }

    @AfterEach
    void close() {
        admin.close();
        fixture.close();
    }

    @Test
    void refusalsAreFoundByRequestModelAndService() throws Exception {
        HttpResponse<String> answer = fixture.send(fixture.chatRequest(0, "deed", false, "X-Request-Id", "mine"));
        assertEquals(503, answer.statusCode());
        fixture.send(fixture.chatRequest(0, "dead", false));
        fixture.send(fixture.serviceRequest(0, "nothing/x", "{}"));
        String mine = page("mine");
        assertTrue(mine.contains("\"request\" : \"mine.e1-"), mine);
        assertTrue(mine.contains("\"code\" : \"no-memory\""), mine);
        assertTrue(mine.contains("\"ran\" : \"no\""), mine);
        assertEquals(mine, page("deed"));
        assertTrue(page("dead").contains("\"code\" : \"unknown-model\""), page("dead"));
        assertTrue(page("service:nothing").contains("\"code\" : \"unknown-service\""), page("service:nothing"));
        assertEquals(3, page("").split("\"request\"").length - 1);
        assertEquals("[ ]", page("other").strip());
    }

    @Test
    void onlyTheNewestRefusalsAreKept() throws Exception {
        for (int i = 0; i < MAX_KEPT + 5; i++) {
            fixture.send(fixture.chatRequest(0, "dead" + i, false));
        }
        assertEquals("[ ]", page("dead4").strip());
        assertTrue(page("dead5").contains("unknown-model"));
        assertEquals(MAX_KEPT, page("").split("\"request\"").length - 1);
    }

    private String page(String subject) throws Exception {
        URI address = URI.create("http://127.0.0.1:" + admin.port() + "/refusals/" + subject);
        return fixture.send(HttpRequest.newBuilder(address).build()).body();
    }
}
