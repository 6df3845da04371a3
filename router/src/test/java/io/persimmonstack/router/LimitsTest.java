package io.persimmonstack.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Limits on the size and time of requests from callers. */
class LimitsTest {
    private static final String LIMITS =
            ",\"callers\":{\"maxBodyBytes\":2048,\"maxHeaderBytes\":4096,\"receiveTimeoutMs\":300}";
    private RouterFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = RouterFixture.start(1, LIMITS);
        fixture.publish(fixture.fleet());
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void tooLargeBodyIsRefusedAsNotRun() throws Exception {
        var answer = fixture.send(fixture.serviceRequest(0, "map/", "x".repeat(3_000)));
        assertEquals(413, answer.statusCode());
        assertTrue(answer.body().contains("\"code\":\"body-too-large\""));
        assertTrue(answer.body().contains("\"ran\":\"no\""));
    }

    @Test
    void tooLargeHeadersAreRefused() throws Exception {
        try (CallerConnection caller = CallerConnection.open(fixture.router(0))) {
            caller.write("GET /v1/addresses HTTP/1.1\r\nHost: r\r\nX-Long: " + "x".repeat(8_000) + "\r\n\r\n");
            assertTrue(caller.readToEnd().startsWith("HTTP/1.1 4"));
        }
    }

    @Test
    void malformedHttpIsRefused() throws Exception {
        try (CallerConnection caller = CallerConnection.open(fixture.router(0))) {
            caller.write("GET /v1/addresses HTTP/1.1\r\nno colon here\r\n\r\n");
            assertTrue(caller.readToEnd().startsWith("HTTP/1.1 400"));
        }
    }

    @Test
    void connectionIsClosedWhenTheBodyDoesNotArriveInTime() throws Exception {
        try (CallerConnection caller = CallerConnection.open(fixture.router(0))) {
            caller.write("POST /services/map/ HTTP/1.1\r\nHost: r\r\nContent-Length: 10\r\n\r\nhalf");
            assertEquals("", caller.readToEnd());
        }
        RouterFixture.await(() ->
                fixture.metrics(0).getGauges().get("requests.open").getValue().equals(0));
    }

    /** Guards against requests that were cut and, by a line that is no chunk size, looked complete. */
    @Test
    void cutRequestInChunksIsNotHandled() throws Exception {
        try (CallerConnection caller = CallerConnection.open(fixture.router(0))) {
            caller.write("GET /v1/addresses HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "3\r\nabc\r\ngarbage\r\n\r\n");
            assertEquals("", caller.readToEnd());
        }
    }

    @Test
    void ambiguousLengthIsRefused() throws Exception {
        try (CallerConnection caller = CallerConnection.open(fixture.router(0))) {
            caller.write("GET /v1/addresses HTTP/1.1\r\nHost: r\r\nContent-Length: 3\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
            String answer = caller.readToEnd();
            assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
        }
    }
}
