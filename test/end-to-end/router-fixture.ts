/** A router on loopback, with stand-ins for the platform, the backend servers and the services that it uses. */
import { readFile } from "node:fs/promises";
import { createLogger, LogFormat } from "../../src/common/logger.js";
import { SilentMetrics } from "../../src/common/metrics.js";
import { Router } from "../../src/daemon/router.js";
import { createSheetPushService } from "../../src/daemon/sheet-push.js";
import { parseSettings } from "../../src/process/settings/parse-settings.js";
import { StandInFleet } from "../../src/stand-ins/fleet/stand-in-fleet.js";
import { previewConfiguration } from "../../src/version/sheet/index.js";

const engineSpeedFactor = 20;
const seed = 7;
export const customerApiKey = "demo-kewdale-weighbridge";
export const routeName = "grade-report";
const locations = ["kewdale", "malaga", "bibra-lake"].map(availabilityZone => ({ region: "perth", availabilityZone }));

export class RouterFixture {
    private constructor(
        readonly fleet: StandInFleet,
        readonly router: Router,
        private readonly sheet: string,
        /** Every line that the router logged, at level `debug`. */
        readonly logLines: readonly string[],
    ) {}

    /** Starts the stand-ins and a router, pushes the sheet, and waits until the router answers a chat request. */
    static async start(): Promise<RouterFixture> {
        const sheet = await readFile("examples/haddow.csv", "utf8");
        const fleet = new StandInFleet({
            configuration: previewConfiguration(sheet),
            locations,
            seed,
            speedFactor: engineSpeedFactor,
        });
        await fleet.start();
        await pushSheet(fleet, sheet);
        const logLines: string[] = [];
        const router = await Router.create({
            settings: fixtureSettings(fleet.platformServer.address),
            logger: createLogger(LogFormat.json, "debug", "router", line => void logLines.push(line)),
            metrics: new SilentMetrics(),
        });
        await router.start();
        const fixture = new RouterFixture(fleet, router, sheet, logLines);
        await fixture.waitUntilServing();
        return fixture;
    }

    async stop(): Promise<void> {
        await this.router.stop();
        await this.fleet.stop();
    }

    /** Pushes a changed sheet; returns the new configuration version. */
    pushChangedSheet(change: (sheet: string) => string): Promise<number> {
        return pushSheet(this.fleet, change(this.sheet));
    }

    chat(fields: Record<string, unknown> = {}, headers: Record<string, string> = {}): Promise<Response> {
        return fetch(`${this.router.callersAddress}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${customerApiKey}`, ...headers },
            body: JSON.stringify({
                model: routeName,
                max_tokens: 20,
                messages: [{ role: "user", content: "Grade the load from truck 17." }],
                ...fields,
            }),
        });
    }

    private async waitUntilServing(): Promise<void> {
        while ((await this.chat({ max_tokens: 1 })).status !== 200) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    }
}

async function pushSheet(fleet: StandInFleet, sheet: string): Promise<number> {
    const service = createSheetPushService(fleet.platform);
    return (await service.push({ sheet, author: "test" })).version;
}

function fixtureSettings(platformAddress: string) {
    return parseSettings(
        JSON.stringify({
            router: { id: "router-1", ...locations[0] },
            callers: { port: 0 },
            operators: { port: 0 },
            peers: { port: 0 },
            platform: { keyValueAddresses: [platformAddress], vmListAddresses: [platformAddress] },
            placement: { enabled: false },
            drain: { balancerDelayMilliseconds: 0 },
        }),
        "fixture settings",
    );
}
