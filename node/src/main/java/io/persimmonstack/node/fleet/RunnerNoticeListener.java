package io.persimmonstack.node.fleet;

/** Receives what runners say about themselves in their answers; it must not block. */
@FunctionalInterface
public interface RunnerNoticeListener {
    /**
     * Receives one notice.
     *
     * @param runner process that answered
     * @param notice what it said
     */
    void onNotice(Runner runner, RunnerNotice notice);
}
