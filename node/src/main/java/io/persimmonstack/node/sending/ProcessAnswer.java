package io.persimmonstack.node.sending;

/** What a runner answers when it is asked for its process. */
public sealed interface ProcessAnswer {
    /** The process is the expected one. */
    record Expected() implements ProcessAnswer {}

    /**
     * Another process has the runner's identifier and address.
     *
     * @param startedMs start of that process, in Unix milliseconds
     */
    record Other(long startedMs) implements ProcessAnswer {}

    /**
     * No connection could be opened, or it was closed: the process has probably ended.
     *
     * @param cause explanation for the log
     */
    record Unreachable(String cause) implements ProcessAnswer {}

    /**
     * A connection was opened, but there was no usable answer in time.
     *
     * @param cause explanation for the log
     */
    record Silent(String cause) implements ProcessAnswer {}
}
