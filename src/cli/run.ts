/** Entry point for running one command line in a given context; used by the program and by tests. */
import { Command, CommanderError } from "commander";
import { OperatorUnreachableError, PlatformUnavailableError, PomelostallError } from "../errors/index.js";
import { createBookingsCommand } from "./commands/bookings.js";
import { createDemoCommand } from "./commands/demo.js";
import { createDrainCommand } from "./commands/drain.js";
import { createExplainRequestCommand } from "./commands/explain-request.js";
import { createExplainCommand } from "./commands/explain.js";
import { createPlacementCommand } from "./commands/placement.js";
import { createRouterCommand } from "./commands/router.js";
import { createSettingsCommand } from "./commands/settings.js";
import { createSheetCommand } from "./commands/sheet.js";
import { createStandInCommand } from "./commands/stand-in.js";
import { createStatusCommand } from "./commands/status.js";
import { type CommandContext, ExitCode } from "./context.js";

const commandFactories: readonly ((context: CommandContext) => Command)[] = [
    createBookingsCommand,
    createDemoCommand,
    createPlacementCommand,
    createRouterCommand,
    createSheetCommand,
    createSettingsCommand,
    createStandInCommand,
    createStatusCommand,
    createDrainCommand,
    createExplainCommand,
    createExplainRequestCommand,
];

/**
 * Runs the command and reports failures as messages and exit codes. Errors other than PomelostallError and
 * CommanderError are rethrown.
 */
export async function runCommandLine(context: CommandContext, commandArguments: readonly string[]): Promise<void> {
    try {
        await createProgram(context).parseAsync([...commandArguments], { from: "user" });
    }
    catch (error) {
        reportFailure(context, error);
    }
}

function createProgram(context: CommandContext): Command {
    const program = new Command("pomelostall").description(
        "Routes requests to language-model pipelines over mixed accelerators, and to plain services",
    );
    for (const createCommand of commandFactories) {
        program.addCommand(createCommand(context));
    }
    configureOutput(program, context);
    return program;
}

/** Configures each command separately: commander does not apply settings to commands added with `addCommand`. */
function configureOutput(command: Command, context: CommandContext): void {
    command.exitOverride();
    command.configureOutput({
        writeOut: text => context.output.write(text),
        writeErr: text => context.errorOutput.write(text),
        getOutHasColors: () => context.color,
        getErrHasColors: () => context.color,
    });
    command.commands.forEach(child => configureOutput(child, context));
}

function reportFailure(context: CommandContext, error: unknown): void {
    if (error instanceof CommanderError) {
        context.setExitCode(error.exitCode === 0 ? ExitCode.ok : ExitCode.usage);
        return;
    }
    if (!(error instanceof PomelostallError)) {
        throw error;
    }
    context.errorOutput.write(`${error.title} (${error.code})\n${error.message}\nHint: ${error.hint}\n`);
    const unreachable = error instanceof OperatorUnreachableError || error instanceof PlatformUnavailableError;
    context.setExitCode(unreachable ? ExitCode.unreachable : ExitCode.failure);
}
