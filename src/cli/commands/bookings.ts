/** `pomelostall bookings`: list bookings with an unknown outcome, and settle them with a reason. */
import { Command } from "commander";
import { userInfo } from "node:os";
import { SilentMetrics } from "../../common/metrics.js";
import type { BookingRecord } from "../../domain/booking-ledger.js";
import { settleBooking, ShardedLedger } from "../../process/ledger/index.js";
import { HttpKeyValueService, HttpPlatformClient } from "../../process/platform/index.js";
import { type CommandContext, EnvironmentName } from "../context.js";

interface CommonOptions {
    readonly json?: boolean;
    readonly platform?: string;
}

interface SettleOptions extends CommonOptions {
    readonly reason: string;
    readonly author: string;
}

const defaultPlatformAddress = "http://127.0.0.1:2379";

export function createBookingsCommand(context: CommandContext): Command {
    const bookings = new Command("bookings").description("List and settle bookings with an unknown outcome");
    bookings.addCommand(createListCommand(context));
    bookings.addCommand(createSettleCommand(context));
    return bookings;
}

function createListCommand(context: CommandContext): Command {
    return addCommonOptions(new Command("list"))
        .description("List bookings with an unknown outcome, oldest first; some may still be running")
        .addHelpText("after", "\nExample:\n  pomelostall bookings list --json")
        .action((options: CommonOptions) =>
            withLedger(context, options, async ledger => {
                const records = await ledger.listUnresolved();
                print(context, options, records, `${records.map(formatRecord).join("")}${records.length} booking(s)\n`);
            })
        );
}

function createSettleCommand(context: CommandContext): Command {
    return addCommonOptions(new Command("settle"))
        .description("Record the outcome of a booking; a request with the same key will never run it again")
        .argument("<request-id>", "request ID of the booking, as shown by the list command")
        .requiredOption("--reason <text>", "outcome found in the service's records; shown to callers")
        .option("--author <name>", "name of the operator who settles the booking", userInfo().username)
        .addHelpText(
            "after",
            '\nExample:\n  pomelostall bookings settle req-41 --reason "truck 7 was booked at 06:12, docket 9031"',
        )
        .action((requestId: string, options: SettleOptions) =>
            withLedger(context, options, async ledger => {
                await settleBooking(ledger, requestId, `${options.reason} (${options.author})`);
                print(context, options, { settled: requestId }, `settled ${requestId}\n`);
            })
        );
}

function addCommonOptions(command: Command): Command {
    return command
        .option(
            "--platform <urls>",
            `base URLs of the platform, separated by commas (${EnvironmentName.keyValueAddresses})`,
        )
        .option("--json", "print JSON");
}

function formatRecord({ claim, outcome }: BookingRecord): string {
    const state = outcome?.result ?? "no outcome";
    const time = new Date(claim.claimedAt).toISOString();
    return `${claim.requestId}  ${time}  ${claim.customer}  ${claim.service}  ${state}  ${claim.routerId}\n`;
}

/** Opens the ledger directly on the platform's key-value service, so that no router is needed. */
async function withLedger(
    context: CommandContext,
    options: CommonOptions,
    operation: (ledger: ShardedLedger) => Promise<void>,
): Promise<void> {
    const addresses = options.platform ?? context.environment[EnvironmentName.keyValueAddresses]
        ?? defaultPlatformAddress;
    const client = new HttpPlatformClient(addresses.split(","));
    const routerId = "operator";
    const ledger = new ShardedLedger({
        keyValueService: new HttpKeyValueService(client),
        routerId,
        liveRouters: () => [routerId],
        wallClock: () => Date.now(),
        logger: context.logger,
        metrics: new SilentMetrics(),
    });
    try {
        await operation(ledger);
    }
    finally {
        await ledger.stop();
        await client.close();
    }
}

function print(context: CommandContext, options: CommonOptions, value: unknown, text: string): void {
    context.output.write(options.json === true ? `${JSON.stringify(value)}\n` : text);
}
