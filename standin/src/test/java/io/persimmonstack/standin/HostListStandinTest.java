package io.persimmonstack.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.persimmonstack.backends.hosts.Host;
import io.persimmonstack.backends.hosts.HostList;
import io.persimmonstack.backends.hosts.HostListContract;
import io.persimmonstack.backends.hosts.HostState;
import io.persimmonstack.backends.hosts.HttpHostList;
import io.persimmonstack.backends.http.HttpRequest;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs the host list contract against the stand-in, and tests its lag and its entity tags. */
class HostListStandinTest extends HostListContract {
    private TestStandins standins;
    private HostList list;

    @BeforeEach
    void start() throws Exception {
        standins = TestStandins.start();
        list = HttpHostList.of(standins.connector(), standins.address(Standins.HOST_LIST), TestStandins.LONG_TIMEOUTS);
    }

    @AfterEach
    void stop() {
        standins.close();
    }

    @Override
    protected HostList list() {
        return list;
    }

    @Override
    protected void setState(String host, HostState state) throws Exception {
        String body = "{\"state\":\"" + state.name().toLowerCase(Locale.ROOT) + "\"}";
        standins.exchange(Standins.HOST_LIST, HttpRequest.postJson("/hosts/" + host, body));
    }

    @Override
    protected void takeDown() throws Exception {
        standins.injectFault(Standins.HOST_LIST, "{\"fault\":\"down\"}");
    }

    @Test
    void laggingListReportsOldStateWhileTargetIsLeaving() throws Exception {
        standins.injectFault(Standins.HOST_LIST, "{\"fault\":\"lag\",\"ms\":600000}");
        setState("desk-1", HostState.LEAVING);
        boolean allLive = list.hosts().stream().allMatch(host -> host.state() == HostState.LIVE);
        assertEquals(true, allLive);
        assertEquals("503", standins.exchange("desk-1", HttpRequest.get("/")).substring(0, 3));
    }

    @Test
    void listIsSentAgainOnlyAfterAChange() throws Exception {
        List<Host> initialHosts = list.hosts();
        assertSame(initialHosts, list.hosts());
        setState("desk-1", HostState.LEAVING);
        assertEquals(
                1,
                list.hosts().stream()
                        .filter(host -> host.state() == HostState.LEAVING)
                        .count());
        assertEquals(initialHosts.size(), list.hosts().size());
    }
}
