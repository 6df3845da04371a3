package io.persimmonstack.ctl;

import java.io.PrintStream;

/**
 * Output streams of a command.
 *
 * @param out stream for results
 * @param err stream for errors and hints
 */
public record Terminal(PrintStream out, PrintStream err) {}
