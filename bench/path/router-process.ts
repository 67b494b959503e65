/**
 * Child process of the `path` benchmark with one router; it replies to each message with its CPU time and heap size.
 */
import { SilentLogger } from "../../src/common/logger.js";
import { SilentMetrics } from "../../src/common/metrics.js";
import { Router } from "../../src/daemon/router.js";
import { createSheetPushService } from "../../src/daemon/sheet-push.js";
import { parseSettings } from "../../src/process/settings/parse-settings.js";
import { PlatformServer, StandInPlatform } from "../../src/stand-ins/platform/index.js";
import { backendServerClass, location, sheet } from "./fixture.js";
import type { RouterReady, RouterUsage, ServerAddress } from "./messages.js";

const microsecondsPerSecond = 1e6;
const servers = JSON.parse(process.argv[2] ?? "[]") as ServerAddress[];

const platform = new StandInPlatform();
platform.setVms(servers.map(server => ({
    ...server,
    ...location,
    kind: "backend-server",
    className: backendServerClass.name,
    state: "live",
    incarnation: 1,
})));
await createSheetPushService(platform).push({ sheet, author: "bench" });
const platformServer = new PlatformServer(platform);
await platformServer.start();
const settings = parseSettings(
    JSON.stringify({
        router: { id: "router-1", ...location },
        callers: { port: 0 },
        operators: { port: 0 },
        peers: { port: 0 },
        platform: { keyValueAddresses: [platformServer.address], vmListAddresses: [platformServer.address] },
    }),
    "bench settings",
);
const router = await Router.create({
    settings,
    logger: new SilentLogger(),
    metrics: new SilentMetrics(),
});
await router.start();
const ready: RouterReady = { address: router.callersAddress };
process.send?.(ready);
process.on("message", () => {
    const { user, system } = process.cpuUsage();
    const usage: RouterUsage = {
        cpuSeconds: (user + system) / microsecondsPerSecond,
        heapBytes: process.memoryUsage().heapUsed,
    };
    process.send?.(usage);
});
process.on("disconnect", () => process.exit(0));
