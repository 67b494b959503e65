import { expect, jest, test } from "@jest/globals";
import { PassThrough } from "node:stream";
import { createBookingsCommand } from "../../../src/cli/commands/bookings.js";
import type { CommandContext } from "../../../src/cli/context.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { BookingNotFoundError, BookingUnknownError } from "../../../src/errors/index.js";
import { PlatformServer } from "../../../src/stand-ins/platform/index.js";
import { LedgerFixture } from "../../process/ledger/ledger-fixture.js";

test("an operator lists a booking with an unknown outcome and settles it with a reason", async () => {
    jest.useRealTimers();
    const fixture = new LedgerFixture();
    const router = fixture.add();
    const server = new PlatformServer(fixture.platform);
    await server.start();
    const run = async (...commandArguments: string[]) => {
        const output = new PassThrough();
        const context: CommandContext = {
            output,
            errorOutput: output,
            color: false,
            environment: { POMELOSTALL_KEY_VALUE: server.address },
            logger: new SilentLogger(),
            setExitCode: () => undefined,
        };
        await createBookingsCommand(context).parseAsync(commandArguments, { from: "user" });
        return String(output.read() ?? "");
    };
    fixture.service.behaviour = "run-and-lose";
    await expect(router.book("a")).rejects.toThrow(BookingUnknownError);
    await router.recorder.stop();
    expect(await run("list")).toContain("request-1");
    await expect(run("settle", "request-9", "--reason", "x")).rejects.toThrow(BookingNotFoundError);
    await run("settle", "request-1", "--reason", "docket 9031", "--author", "operator");
    expect(JSON.parse(await run("list", "--json"))).toEqual([]);
    await expect(router.book("a")).rejects.toMatchObject({ settledReason: "docket 9031 (operator)" });
    await fixture.stop();
    await server.stop();
});
