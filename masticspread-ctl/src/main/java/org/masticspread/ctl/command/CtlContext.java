package org.masticspread.ctl.command;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.time.InstantSource;
import java.util.Map;

/**
 * The environment of the process, as used by the commands.
 *
 * @param environment the environment variables
 * @param in the standard input
 * @param out the standard output
 * @param err the standard error output
 * @param clock the clock
 * @param pause sleeps for a duration
 */
public record CtlContext(
    Map<String, String> environment,
    BufferedReader in,
    PrintWriter out,
    PrintWriter err,
    InstantSource clock,
    Pause pause) {}
