package org.masticspread.ctl.command;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.time.InstantSource;
import java.util.Map;

/**
 * What the commands use of the process around them.
 *
 * @param environment the environment variables
 * @param in the input
 * @param out the output
 * @param err the errors
 * @param clock the clock
 * @param pause how to wait
 */
public record CtlContext(
    Map<String, String> environment,
    BufferedReader in,
    PrintWriter out,
    PrintWriter err,
    InstantSource clock,
    Pause pause) {}
