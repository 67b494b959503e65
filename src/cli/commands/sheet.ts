/** `pomelostall sheet`: check, compare and push the configuration sheet, show its history and roll back. */
import { Command, InvalidArgumentError, Option } from "commander";
import { readFile } from "node:fs/promises";
import { userInfo } from "node:os";
import { createSheetPushService } from "../../daemon/sheet-push.js";
import { PushConflictError, SheetFileError, SheetInvalidError } from "../../errors/index.js";
import type { PushService } from "../../process/configuration/index.js";
import { HttpKeyValueService, HttpPlatformClient } from "../../process/platform/index.js";
import { parseSheet } from "../../version/sheet/index.js";
import { type CommandContext, EnvironmentName, ExitCode } from "../context.js";
import { OperatorFleetVersions } from "../fleet-versions.js";
import { OperatorClient } from "../operator-client.js";
import { formatDifferences, formatFaults, formatInForce, formatRecord } from "../sheet-output.js";

interface CommonOptions {
    readonly json?: boolean;
    readonly platform?: string;
    readonly router?: string;
}

interface PushOptions extends CommonOptions {
    readonly author: string;
    readonly parent?: number;
    readonly wait: number;
}

const defaultPlatformAddress = "http://127.0.0.1:2379";
const defaultWaitSeconds = 10;
const defaultHistoryLength = 20;
const millisecondsPerSecond = 1_000;

export function createSheetCommand(context: CommandContext): Command {
    const sheet = new Command("sheet").description(
        "Check, compare and push the sheet, show its history and roll back (docs/SHEET.md)",
    );
    sheet.addCommand(createCheckCommand(context));
    sheet.addCommand(createDiffCommand(context));
    sheet.addCommand(createPushCommand(context));
    sheet.addCommand(createShowCommand(context));
    sheet.addCommand(createHistoryCommand(context));
    sheet.addCommand(createRollbackCommand(context));
    return sheet;
}

function createCheckCommand(context: CommandContext): Command {
    return new Command("check")
        .description("List every fault of a sheet; exit code 1 if there are any")
        .argument("<file>", "the sheet, as CSV")
        .option("--json", "print the faults as JSON")
        .addHelpText("after", "\nExample:\n  pomelostall sheet check examples/haddow.csv")
        .action(async (file: string, options: CommonOptions) => {
            const text = await readSheet(file);
            await withRejectionReport(context, options, async () => {
                parseSheet(text);
                print(context, options, { faults: [] }, "no faults\n");
            });
        });
}

function createDiffCommand(context: CommandContext): Command {
    return addCommonOptions(new Command("diff"))
        .description("Show the rows that differ between the latest accepted version, or another version, and a sheet")
        .argument("<file>", "the sheet, as CSV")
        .option("--from <version>", "version to compare with", parseWholeNumber)
        .addHelpText("after", "\nExample:\n  pomelostall sheet diff monday.csv --from 41")
        .action(async (file: string, options: CommonOptions & { from?: number; }) => {
            const text = await readSheet(file);
            await withRejectionReport(context, options, () =>
                withPushService(context, options, async service => {
                    const differences = await service.diff(text, options.from);
                    print(context, options, { differences }, formatDifferences(differences));
                }));
        });
}

function createPushCommand(context: CommandContext): Command {
    return addPushOptions(new Command("push"))
        .description("Push a sheet and wait until every router has it in force")
        .argument("<file>", "the sheet, as CSV")
        .option(
            "--parent <version>",
            "version the sheet is based on; conflict if the latest accepted version differs",
            parseWholeNumber,
        )
        .addHelpText(
            "after",
            "\nExit codes: 0 in force everywhere; 1 faults, conflict, or not confirmed in time; 3 platform unreachable."
                + "\n\nExamples:\n  pomelostall sheet push monday.csv\n  pomelostall sheet push monday.csv --parent 41 --wait 30",
        )
        .action(async (file: string, options: PushOptions) => {
            const sheet = await readSheet(file);
            await withRejectionReport(context, options, () =>
                withPushService(context, options, async service => {
                    const { author, parent } = options;
                    await reportPush(context, options, service, () => service.push({ sheet, author, parent }));
                }));
        });
}

function createRollbackCommand(context: CommandContext): Command {
    return addPushOptions(new Command("rollback"))
        .description("Push the sheet of an old version as a new version")
        .argument("<version>", "version to restore", parseWholeNumber)
        .addHelpText("after", "\nExample:\n  pomelostall sheet rollback 41")
        .action((version: number, options: PushOptions) =>
            withPushService(
                context,
                options,
                service => reportPush(context, options, service, () => service.rollBack(version, options.author)),
            )
        );
}

function createShowCommand(context: CommandContext): Command {
    return addCommonOptions(new Command("show"))
        .description("Print the sheet of a version, by default the latest accepted one")
        .argument("[version]", "version to print", parseWholeNumber)
        .addHelpText("after", "\nExample:\n  pomelostall sheet show 41 > monday.csv")
        .action((version: number | undefined, options: CommonOptions) =>
            withPushService(context, options, async service => {
                const shown = await service.show(version);
                print(context, options, shown, shown.sheet);
            })
        );
}

function createHistoryCommand(context: CommandContext): Command {
    return addCommonOptions(new Command("history"))
        .description("List the accepted versions, newest first")
        .option("--limit <count>", "maximum number of versions to list", parseWholeNumber, defaultHistoryLength)
        .addHelpText("after", "\nExample:\n  pomelostall sheet history --limit 5")
        .action((options: CommonOptions & { limit: number; }) =>
            withPushService(context, options, async service => {
                const versions = await service.history(options.limit);
                const { keptVersionTotal } = service;
                const text = `${versions.map(formatRecord).join("")}the last ${keptVersionTotal} versions are kept\n`;
                print(context, options, { versions, keptVersionTotal }, text);
            })
        );
}

async function reportPush(
    context: CommandContext,
    options: PushOptions,
    service: PushService,
    push: () => ReturnType<PushService["push"]>,
): Promise<void> {
    const record = await push();
    if (options.json !== true) {
        context.output.write(`accepted ${formatRecord(record)}`);
    }
    const report = await service.awaitActivation(record.version, options.wait * millisecondsPerSecond);
    print(context, options, { record, inForce: report }, formatInForce(report));
    if (report.confirmed.length === 0 || report.unconfirmed.length > 0) {
        context.setExitCode(ExitCode.failure);
    }
}

function addCommonOptions(command: Command): Command {
    return command
        .option(
            "--platform <urls>",
            `base URLs of the platform, separated by commas (${EnvironmentName.keyValueAddresses})`,
        )
        .option("--router <url>", `operator interface of a router (${EnvironmentName.operatorAddress})`)
        .option("--json", "print JSON");
}

function addPushOptions(command: Command): Command {
    return addCommonOptions(command)
        .option("--author <name>", "author recorded with the version", userInfo().username)
        .addOption(
            new Option("--wait <seconds>", "longest time to wait for all routers to confirm").argParser(Number).default(
                defaultWaitSeconds,
            ),
        );
}

function parseWholeNumber(text: string): number {
    if (!/^\d+$/.test(text)) {
        throw new InvalidArgumentError("Expected a whole number.");
    }
    return Number(text);
}

async function withPushService(
    context: CommandContext,
    options: CommonOptions,
    operation: (service: PushService) => Promise<void>,
): Promise<void> {
    const addresses = options.platform ?? context.environment[EnvironmentName.keyValueAddresses]
        ?? defaultPlatformAddress;
    const client = new HttpPlatformClient(addresses.split(","));
    const service = createSheetPushService(
        new HttpKeyValueService(client),
        new OperatorFleetVersions(OperatorClient.fromContext(context, options.router)),
    );
    try {
        await operation(service);
    }
    finally {
        await client.close();
    }
}

/** Runs the operation; prints sheet faults and push conflicts as results, with exit code 1. */
async function withRejectionReport(
    context: CommandContext,
    options: CommonOptions,
    operation: () => Promise<void>,
): Promise<void> {
    try {
        await operation();
    }
    catch (error) {
        if (error instanceof SheetInvalidError) {
            print(context, options, { faults: error.faults }, formatFaults(error.faults));
        }
        else if (error instanceof PushConflictError) {
            const { winner, differences } = error;
            const text = `not accepted; this version was accepted first: ${formatRecord(winner)}${
                formatDifferences(differences)
            }`;
            print(context, options, { conflict: { winner, differences } }, text);
        }
        else {
            throw error;
        }
        context.setExitCode(ExitCode.failure);
    }
}

async function readSheet(file: string): Promise<string> {
    try {
        return await readFile(file, "utf8");
    }
    catch (error) {
        throw new SheetFileError(`${file} cannot be read.`, error);
    }
}

function print(context: CommandContext, options: CommonOptions, value: unknown, text: string): void {
    context.output.write(options.json === true ? `${JSON.stringify(value)}\n` : text);
}
