/** `pomelostall explain-request`: show the log lines about one request and about the backend servers chosen for it. */
import { Command } from "commander";
import { readTextFile } from "../../common/read-text-file.js";
import { type CommandContext, ExitCode } from "../context.js";
import { collectRequestLines, type LogLine, parseLogLines } from "../request-log.js";

export function createExplainRequestCommand(context: CommandContext): Command {
    return new Command("explain-request")
        .description("Show the log lines about a request and the backend servers chosen for it")
        .argument("<id>", "the request's ID")
        .argument("<files...>", "log files of one or more routers")
        .option("--json", "print the lines as JSON")
        .addHelpText("after", "\nExample:\n  pomelostall explain-request 9c41d07be2a35f68 edge-1.log edge-2.log")
        .action(async (id: string, files: string[], options: { json?: boolean; }) => {
            const lines: LogLine[] = [];
            for (const file of files) {
                lines.push(...parseLogLines(await readTextFile(file), file));
            }
            const found = collectRequestLines(lines, id);
            if (found.length === 0) {
                context.errorOutput.write(`No line of ${files.length} file(s) names request ${id}.\n`);
                context.setExitCode(ExitCode.failure);
                return;
            }
            const text = found.map(line => options.json === true ? JSON.stringify(line.fields) : formatLine(line));
            context.output.write(`${text.join("\n")}\n`);
        });
}

function formatLine({ source, fields }: LogLine): string {
    const { time, level, label, message, kind, ...rest } = fields;
    const shown = Object.entries(rest)
        .filter(([name, value]) => name !== "over" && value !== undefined)
        .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return `${String(time)} ${source} ${String(level)} [${String(label)}] ${String(kind ?? message)} ${
        shown.join(" ")
    }`;
}
