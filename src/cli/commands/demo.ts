/** `pomelostall demo`: run a router with a simulated platform, backend servers and services in one process. */
import { Command } from "commander";
import { once } from "node:events";
import { createLogger, LogFormat } from "../../common/logger.js";
import { SilentMetrics } from "../../common/metrics.js";
import { readTextFile } from "../../common/read-text-file.js";
import { Router } from "../../daemon/router.js";
import { createSheetPushService } from "../../daemon/sheet-push.js";
import { parseSettings } from "../../process/settings/parse-settings.js";
import { StandInFleet } from "../../stand-ins/fleet/stand-in-fleet.js";
import { previewConfiguration } from "../../version/sheet/index.js";
import type { CommandContext } from "../context.js";

const defaultSheet = new URL("../../../../examples/haddow.csv", import.meta.url);
const fleetSeed = 1;
const demoKey = "demo-kewdale-weighbridge";

export function createDemoCommand(context: CommandContext): Command {
    return new Command("demo")
        .description("Run a router with a simulated platform, backend servers and services, in one process on loopback")
        .option("--port <port>", "TCP port for callers", "8080")
        .addHelpText("after", "\nExample:\n  pomelostall demo")
        .action((options: { port: string; }) => runDemo(context, Number(options.port)));
}

async function runDemo(context: CommandContext, port: number): Promise<void> {
    const sheet = await readTextFile(defaultSheet);
    const locations = ["kewdale", "malaga", "bibra-lake"].map(availabilityZone => ({
        region: "perth",
        availabilityZone,
    }));
    const fleet = new StandInFleet({ configuration: previewConfiguration(sheet), locations, seed: fleetSeed });
    await fleet.start();
    const version = (await createSheetPushService(fleet.platform).push({ sheet, author: "demo" })).version;
    const router = await Router.create({
        settings: demoSettings(fleet.platformServer.address, port),
        logger: createLogger(LogFormat.pretty, "info", "router"),
        metrics: new SilentMetrics(),
    });
    await router.start();
    context.output.write(`the sample sheet is version ${version}
${formatInstructions(router)}`);
    await Promise.race([once(process, "SIGINT"), once(process, "SIGTERM"), router.stopped]);
    await router.stop();
    await fleet.stop();
}

function demoSettings(platformAddress: string, port: number) {
    return parseSettings(
        JSON.stringify({
            router: { id: "router-1", region: "perth", availabilityZone: "kewdale" },
            callers: { port },
            platform: { keyValueAddresses: [platformAddress], vmListAddresses: [platformAddress] },
        }),
        "demo settings",
    );
}

function formatInstructions(router: Router): string {
    const { callersAddress, operatorsAddress } = router;
    return `
pomelostall is ready. Try, in another terminal:

  curl -N ${callersAddress}/v1/chat/completions -H 'Authorization: Bearer ${demoKey}' \\
    -H 'Content-Type: application/json' \\
    -d '{"model":"grade-report","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Grade the load from truck 17."}]}'

  curl ${callersAddress}/services/bookings/bookings -H 'Authorization: Bearer ${demoKey}' \\
    -H 'Idempotency-Key: truck-17-0700' -d '{"truck":17}'

  node dist/src/cli/main.js status --router ${operatorsAddress}
  node dist/src/cli/main.js explain grade-report --router ${operatorsAddress}

Press Ctrl-C to stop.
`;
}
