/** `pomelostall bookings`: list the bookings whose outcome is not known, and settle them with a reason. */
import { Command } from "commander";
import { userInfo } from "node:os";
import { SilentMetrics } from "../../common/metrics.js";
import type { BookingRecord } from "../../domain/booking-ledger.js";
import { settleBooking, ShardedLedger } from "../../process/ledger/index.js";
import { HttpKeyValueService, HttpPlatformClient } from "../../process/platform/index.js";
import { type CommandContext, EnvironmentName } from "../context.js";

interface SharedOptions {
    readonly json?: boolean;
    readonly platform?: string;
}

interface SettleOptions extends SharedOptions {
    readonly reason: string;
    readonly author: string;
}

const defaultPlatformAddress = "http://127.0.0.1:2379";

export function createBookingsCommand(context: CommandContext): Command {
    const bookings = new Command("bookings").description("List and settle bookings whose outcome is not known");
    bookings.addCommand(createList(context));
    bookings.addCommand(createSettle(context));
    return bookings;
}

function createList(context: CommandContext): Command {
    return withPlatform(new Command("list"))
        .description("List bookings without a known outcome, the oldest first; some may still be running")
        .addHelpText("after", "\nExample:\n  pomelostall bookings list --json")
        .action((options: SharedOptions) =>
            withLedger(context, options, async ledger => {
                const records = await ledger.listUnresolved();
                print(context, options, records, `${records.map(formatRecord).join("")}${records.length} booking(s)\n`);
            })
        );
}

function createSettle(context: CommandContext): Command {
    return withPlatform(new Command("settle"))
        .description("Record what was found out about a booking; it is never run again under its key")
        .argument("<request-id>", "request ID of the booking, as the list shows it")
        .requiredOption("--reason <text>", "what was found in the service's books; callers see it")
        .option("--author <name>", "who settles", userInfo().username)
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

function withPlatform(command: Command): Command {
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

/** The ledger is read and written straight through the platform, so that no router is needed. */
async function withLedger(
    context: CommandContext,
    options: SharedOptions,
    act: (ledger: ShardedLedger) => Promise<void>,
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
        await act(ledger);
    }
    finally {
        await ledger.stop();
        await client.close();
    }
}

function print(context: CommandContext, options: SharedOptions, value: unknown, text: string): void {
    context.output.write(options.json === true ? `${JSON.stringify(value)}\n` : text);
}
