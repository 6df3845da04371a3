package io.persimmonstack.node.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PriorityScaleTest {
    private static Route route(int priority) {
        return new Route(
                "r" + priority,
                "h",
                "/",
                RouteKind.SAFE,
                false,
                1,
                1,
                0,
                priority,
                1,
                List.of(new ServiceShare("s", 1)));
    }

    private static Workspace workspace(int priority) {
        return new Workspace("w" + priority, priority, Optional.empty());
    }

    @Test
    void withoutWorkspacesRunnersAreToldThePriorityOfTheRoute() {
        PriorityScale scale = PriorityScale.of(List.of(), List.of(route(2), route(40)));
        assertEquals(new RequestPriority(0, 2, 2), scale.of(Optional.empty(), route(2)));
        assertEquals(9, scale.of(Optional.empty(), route(40)).atRunner());
        assertEquals(0, scale.of(Optional.empty(), route(-3)).atRunner());
    }

    @Test
    void workspaceOutweighsRoute() {
        PriorityScale scale =
                PriorityScale.of(List.of(workspace(0), workspace(4)), List.of(route(1), route(2), route(7)));
        List<Integer> told = new ArrayList<>();
        for (int workspace : new int[] {0, 4}) {
            for (int route : new int[] {1, 2, 7}) {
                told.add(scale.of(Optional.of(workspace(workspace)), route(route))
                        .atRunner());
            }
        }
        assertEquals(List.of(0, 1, 2, 3, 4, 5), told);
    }

    /** Guards against values above 9, and against an order that is reversed where values are shared. */
    @Test
    void manyPrioritiesShareTenValuesInOrder() {
        List<Workspace> workspaces =
                IntStream.range(0, 16).mapToObj(PriorityScaleTest::workspace).toList();
        PriorityScale scale = PriorityScale.of(workspaces, List.of(route(0), route(5), route(9)));
        int before = 0;
        for (Workspace workspace : workspaces) {
            for (int route : new int[] {0, 5, 9}) {
                int told = scale.of(Optional.of(workspace), route(route)).atRunner();
                assertTrue(told >= before && told <= 9, workspace + " " + route + ": " + told);
                before = told;
            }
        }
        assertEquals(9, before);
    }

    /** Guards against callers that leave their key out on an exempt route to come first. */
    @Test
    void requestWithoutWorkspaceRanksWithTheLeastUrgent() {
        PriorityScale scale = PriorityScale.of(List.of(workspace(1), workspace(3)), List.of(route(2)));
        assertEquals(scale.of(Optional.of(workspace(3)), route(2)), scale.of(Optional.empty(), route(2)));
    }
}
