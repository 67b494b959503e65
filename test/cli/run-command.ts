/** Runs one command line in a test and captures its output. */
import { Writable } from "node:stream";
import type { ExitCode } from "../../src/cli/context.js";
import { runCommandLine } from "../../src/cli/run.js";
import { SilentLogger } from "../../src/common/logger.js";

export interface CommandResult {
    readonly exitCode: number;
    readonly output: string;
    readonly errors: string;
}

/** Collects the text written to its stream. */
class TextCollector {
    text = "";
    readonly stream = new Writable({
        write: (chunk: Buffer, _encoding, callback) => {
            this.text += chunk.toString();
            callback();
        },
    });
}

export async function runCommand(
    commandArguments: readonly string[],
    environment: Record<string, string> = {},
): Promise<CommandResult> {
    const output = new TextCollector();
    const errorOutput = new TextCollector();
    let exitCode: ExitCode = 0;
    await runCommandLine({
        output: output.stream,
        errorOutput: errorOutput.stream,
        color: false,
        environment,
        logger: new SilentLogger(),
        setExitCode: code => exitCode = code,
    }, commandArguments);
    return { exitCode, output: output.text, errors: errorOutput.text };
}
