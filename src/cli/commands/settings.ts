/** `pomelostall settings check | sample`: check a settings file, or print a commented sample. */
import { Command } from "commander";
import { InvalidSettingsError } from "../../errors/index.js";
import { renderSampleSettings } from "../../process/settings/describe-settings.js";
import { readSettings } from "../../process/settings/parse-settings.js";
import { type CommandContext, ExitCode } from "../context.js";

export function createSettingsCommand(context: CommandContext): Command {
    const command = new Command("settings").description("Check a settings file, or print a commented sample");
    command.command("check")
        .description("Check a settings file and report every fault")
        .argument("<file>", "settings file, JSON with comments")
        .option("--json", "print the result as JSON")
        .addHelpText("after", "\nExample:\n  pomelostall settings check router.jsonc")
        .action((file: string, options: { json?: boolean; }) => checkSettings(context, file, options.json === true));
    command.command("sample")
        .description("Print a commented settings file")
        .addHelpText("after", "\nExample:\n  pomelostall settings sample > router.jsonc")
        .action(() => {
            context.output.write(renderSampleSettings());
        });
    return command;
}

async function checkSettings(context: CommandContext, file: string, json: boolean): Promise<void> {
    try {
        await readSettings(file);
        context.output.write(json ? `${JSON.stringify({ file, faults: [] })}\n` : `${file}: no faults\n`);
    }
    catch (error) {
        if (!(error instanceof InvalidSettingsError)) {
            throw error;
        }
        const text = json ? JSON.stringify({ file, faults: error.faults }) : error.message;
        context.output.write(`${text}\n`);
        context.setExitCode(ExitCode.failure);
    }
}
