/** `pomelostall router`: run a router, the only long-running process in production. */
import { Command } from "commander";
import { runRouter } from "../../daemon/run-router.js";
import { readSettings } from "../../process/settings/parse-settings.js";
import type { CommandContext } from "../context.js";

export function createRouterCommand(_context: CommandContext): Command {
    return new Command("router")
        .description("Run a router until SIGTERM, then finish requests in flight and stop")
        .requiredOption("--settings <file>", "settings file, JSON with comments")
        .addHelpText("after", "\nExample:\n  pomelostall router --settings router.jsonc")
        .action(async (options: { settings: string; }) => runRouter(await readSettings(options.settings)));
}
