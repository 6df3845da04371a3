package io.persimmonstack.node.placing;

/**
 * What waits in a node's queue at one moment.
 *
 * @param late requests that cannot be on time any more
 * @param workspaces workspaces with waiting requests; requests without one count as those of one workspace
 * @param operations how often an offer has looked at the requests of a workspace, or tried to place one, since the
 *     start
 */
public record WaitingCounts(int late, int workspaces, long operations) {}
