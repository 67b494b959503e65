#!/usr/bin/env node
/** Entry point of the `pomelostall` program: runs the command line with the process's streams and environment. */
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
// Exits explicitly, since a library may leave a connection open; waits until earlier output has been flushed.
process.stdout.write("", () => process.exit());
