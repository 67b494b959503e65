import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { PassThrough } from "node:stream";
import { createSheetCommand } from "../../../src/cli/commands/sheet.js";
import type { CommandContext } from "../../../src/cli/context.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { PlatformServer, StandInPlatform } from "../../../src/stand-ins/platform/index.js";

const haddow = "examples/haddow.csv";
const kanuri = "examples/kanuri.csv";

let platform: StandInPlatform;
let platformServer: PlatformServer;
let router: Server;
let routerKeepsOldVersion: boolean;

beforeEach(async () => {
    jest.useRealTimers();
    platform = new StandInPlatform();
    platformServer = new PlatformServer(platform);
    await platformServer.start();
    routerKeepsOldVersion = false;
    router = createServer((_request, response) => void answerStatus(response));
    await new Promise<void>(resolve => router.listen(0, "127.0.0.1", resolve));
});

afterEach(async () => {
    router.closeAllConnections();
    router.close();
    await platformServer.stop();
    platform.close();
});

/**
 * Responds as router-1 with the latest accepted version in force on both routers, or with version 0 on router-1 while
 * `routerKeepsOldVersion` is set.
 */
async function answerStatus(response: ServerResponse): Promise<void> {
    const entry = await platform.get("pomelostall/configuration/head", 1_000);
    const { version } = entry === undefined
        ? { version: 0 }
        : JSON.parse(String(Buffer.from(entry.value))) as { version: number; };
    response.end(JSON.stringify({
        router: { id: "router-1", availabilityZone: "a", configurationVersion: routerKeepsOldVersion ? 0 : version },
        routers: [{ id: "router-2", availabilityZone: "b", state: "alive", configurationVersion: version }],
    }));
}

async function run(...commandArguments: string[]): Promise<{ output: string; exitCode: number; }> {
    const output = new PassThrough();
    let exitCode = 0;
    const context: CommandContext = {
        output,
        errorOutput: output,
        color: false,
        environment: {
            POMELOSTALL_KEY_VALUE: platformServer.address,
            POMELOSTALL_OPERATOR: `http://127.0.0.1:${(router.address() as AddressInfo).port}`,
        },
        logger: new SilentLogger(),
        setExitCode: code => {
            exitCode = code;
        },
    };
    await createSheetCommand(context).parseAsync(commandArguments, { from: "user" });
    return { output: String(output.read() ?? ""), exitCode };
}

describe("pomelostall sheet", () => {
    test("check lists faults and gives exit code 1", async () => {
        expect(await run("check", haddow)).toEqual({ output: "no faults\n", exitCode: 0 });
        const faulty = await run("check", "package.json", "--json");
        expect(faulty.exitCode).toBe(1);
        expect(JSON.parse(faulty.output)).toMatchObject({ faults: expect.arrayContaining([]) });
    });

    test("push, show, diff, rollback and history work on the accepted versions", async () => {
        const pushed = await run("push", haddow, "--author", "planner");
        expect(pushed.output).toContain("version 1 is in force in 2 of 2 routers");
        expect(pushed.exitCode).toBe(0);
        await run("push", kanuri, "--json", "--parent", "1");
        expect((await run("show", "1")).output).toContain("kewdale");
        expect((await run("diff", kanuri)).output).toBe("no row differs\n");
        expect((await run("diff", haddow, "--from", "1")).output).toBe("no row differs\n");
        const rolledBack = JSON.parse((await run("rollback", "1", "--json")).output) as unknown;
        expect(rolledBack).toMatchObject({ record: { version: 3, parent: 2 }, inForce: { unconfirmed: [] } });
        expect((await run("history", "--limit", "2")).output.split("\n")[0]).toContain("version 3");
    });

    test("a push conflict prints the author of the accepted version and the differing rows", async () => {
        await run("push", haddow, "--author", "winner");
        const { output, exitCode } = await run("push", kanuri, "--parent", "0");
        expect(exitCode).toBe(1);
        expect(output).toContain("winner");
        expect(output).toContain("+ route route-notes");
    });

    test("push exits with 1 and names the router that does not confirm", async () => {
        routerKeepsOldVersion = true;
        const { output, exitCode } = await run("push", haddow, "--wait", "0");
        expect(exitCode).toBe(1);
        expect(output).toContain("not confirmed: router-1 in a, at version 0");
    });
});
