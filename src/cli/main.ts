#!/usr/bin/env node
/** The command line: gathers the commands, and turns failures into messages and exit codes. */
import process from "node:process";
import { createLogger, LogFormat } from "../common/logger.js";
import { type CommandContext, ExitCode } from "./context.js";
import { runCommandLine } from "./run.js";

const color = process.stdout.isTTY && process.env["NO_COLOR"] === undefined;
const context: CommandContext = {
    output: process.stdout,
    errorOutput: process.stderr,
    color,
    environment: process.env,
    logger: createLogger(process.stderr.isTTY ? LogFormat.pretty : LogFormat.json, "warn", "cli"),
    setExitCode: code => {
        process.exitCode = code;
    },
};

process.exitCode = ExitCode.ok;
await runCommandLine(context, process.argv.slice(2));
// A connection that a library leaves open must not keep a process that has stopped; what was written goes out first.
process.stdout.write("", () => process.exit());
