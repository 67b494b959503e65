import { afterEach, describe, expect, jest, test } from "@jest/globals";
import { Command } from "commander";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Writable } from "node:stream";
import { createFleetInput } from "../../bench/placement-fleet.js";
import { createPlacementCommand } from "../../src/cli/commands/placement.js";
import { SilentLogger } from "../../src/common/logger.js";
import { SeededRandom } from "../../src/common/random.js";
import { PlacementUnknownError, UnknownPlacementSubjectError } from "../../src/errors/index.js";
import { PlacementPlanner } from "../../src/process/placement/placement-planner.js";
import { describeView, type PlacementStatus } from "../../src/process/placement/placement-status.js";
import { runInSlices } from "../../src/process/placement/time-slices.js";
import { planTransition } from "../../src/process/placement/transition.js";

const servers: Server[] = [];

/** Starts an operator interface that always responds with the given status. */
async function startOperatorServer(status: PlacementStatus): Promise<string> {
    const server = createServer((request, response) => {
        response.statusCode = request.url === "/operator/placement" ? 200 : 404;
        response.end(JSON.stringify(status));
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function run(...commandArguments: string[]): Promise<string> {
    let text = "";
    const output = new Writable({
        write: (chunk: Buffer, _encoding, callback) => {
            text += chunk.toString();
            callback();
        },
    });
    const context = {
        output,
        errorOutput: output,
        color: false,
        environment: {},
        logger: new SilentLogger(),
        setExitCode: () => undefined,
    };
    const program = new Command().addCommand(createPlacementCommand(context));
    await program.parseAsync(["placement", ...commandArguments], { from: "user" });
    return text;
}

async function createStatus(): Promise<PlacementStatus> {
    const input = createFleetInput(new SeededRandom(1), { regions: 1, zonesPerRegion: 3, servers: 30, models: 2 });
    const plan = await new PlacementPlanner().plan(input);
    const transition = await runInSlices(planTransition(input.servers, plan.assignments, input.models));
    return {
        holder: { router: "router-1", address: "http://127.0.0.1:1", fencingNumber: 7, takeOverId: "id" },
        isHolder: true,
        settleMilliseconds: 0,
        plan: describeView({ servers: input.servers, input, plan, transition }),
    };
}

afterEach(() => {
    servers.splice(0).forEach(server => server.close());
});

describe("pomelostall placement", () => {
    test("show, plan and explain print the placement, and find the lease holder through another router", async () => {
        jest.useRealTimers();
        const holder = await startOperatorServer(await createStatus());
        const record = { router: "router-1", address: holder, fencingNumber: 7, takeOverId: "id" };
        const other = await startOperatorServer({ holder: record, isHolder: false, settleMilliseconds: 0 });
        expect(await run("show", "--router", holder)).toContain("server-00029");
        const plan = await run("plan", "--router", other);
        expect(plan).toContain("times the demand");
        expect(plan).toMatch(/load model-[01] 1 layers/);
        const explanation = await run("explain", "server-00003", "--router", other);
        expect(explanation).toContain("is to hold: model-");
        expect(explanation).toContain("fencing number 7");
        expect(await run("explain", "model-1", "--router", other)).toContain("after the loss of its largest zone");
        const json = JSON.parse(await run("plan", "--json", "--router", other)) as PlacementStatus;
        expect(json.plan?.steps.length).toBeGreaterThan(10);
        await expect(run("explain", "nobody", "--router", holder)).rejects.toThrow(UnknownPlacementSubjectError);
    });

    test("throws a PlacementUnknownError when no router holds the lease", async () => {
        jest.useRealTimers();
        const router = await startOperatorServer({ isHolder: false, settleMilliseconds: 0 });
        await expect(run("show", "--router", router)).rejects.toThrow(PlacementUnknownError);
    });

    test("the SVG chart shows every backend server with assigned layers", async () => {
        jest.useRealTimers();
        const status = await createStatus();
        const directory = await mkdtemp(join(tmpdir(), "pomelostall-"));
        try {
            const file = join(directory, "placement.svg");
            await run("show", "--router", await startOperatorServer(status), "--picture", file);
            const picture = await readFile(file, "utf8");
            expect(picture).toMatch(/^<svg/);
            for (const server of status.plan!.servers.filter(each => each.wanted !== undefined)) {
                expect(picture).toContain(`>${server.id}<`);
            }
            expect(picture).toContain("region-0/region-0-zone-2");
        }
        finally {
            await rm(directory, { recursive: true });
        }
    });
});
