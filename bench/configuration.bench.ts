/**
 * Time from the push of a configuration until its version is active on all 15 routers, without faults and with faults
 * of the platform. The routers use real loopback connections. Network partitions between regions are covered by
 * the tests in test/process/configuration, on a fake clock.
 */
import { readFile } from "node:fs/promises";
import { delay } from "../src/common/clock.js";
import { StandInFleet } from "../src/stand-ins/fleet/stand-in-fleet.js";
import { Availability, PlatformServer, type StandInPlatform } from "../src/stand-ins/platform/index.js";
import { createEmptyConfiguration } from "../src/version/sheet/index.js";
import { atMost, type Benchmark, type Figure, quantile } from "./figures.js";
import { pushSheet, RouterFleet } from "./support/router-fleet.js";

const routerTotal = 15;
/** Every third router connects to the platform through `isolatedPlatform`, which can be made unavailable separately. */
const isolatedRouterInterval = 3;
const activationBoundMilliseconds = 3_000;
const slowPlatformMilliseconds = 500;
const settleMilliseconds = 2_000;
const pollMilliseconds = 2;
const pushTimeoutMilliseconds = 6_000;
const pushesWithoutFaults = 30;
const pushesWithFaults = 8;
const locations = ["kewdale", "malaga", "bibra-lake"].map(availabilityZone => ({ region: "perth", availabilityZone }));

interface Scenario {
    readonly name: string;
    readonly pushes: number;
    begin(environment: Environment): void;
    end(environment: Environment): void;
}

interface Environment {
    readonly standIns: StandInFleet;
    readonly routers: RouterFleet;
    /** A separate client of the stand-in platform, behind a server of its own that every third router uses. */
    readonly isolatedPlatform: StandInPlatform;
}

const scenarios: readonly Scenario[] = [
    { name: "clean", pushes: pushesWithoutFaults, begin: () => undefined, end: () => undefined },
    {
        name: "silent watches",
        pushes: pushesWithFaults,
        begin: ({ standIns, isolatedPlatform }) => {
            for (const platform of [standIns.platform, isolatedPlatform]) {
                platform.silenceOpenWatches();
                platform.faults.silentWatches = true;
            }
        },
        end: ({ standIns, isolatedPlatform }) => {
            standIns.platform.faults.silentWatches = false;
            isolatedPlatform.faults.silentWatches = false;
        },
    },
    {
        name: "slow platform",
        pushes: pushesWithFaults,
        begin: ({ standIns, isolatedPlatform }) => {
            standIns.platform.faults.latencyMilliseconds = slowPlatformMilliseconds;
            isolatedPlatform.faults.latencyMilliseconds = slowPlatformMilliseconds;
        },
        end: ({ standIns, isolatedPlatform }) => {
            standIns.platform.faults.latencyMilliseconds = 0;
            isolatedPlatform.faults.latencyMilliseconds = 0;
        },
    },
    {
        name: "a third of the routers cut off from the platform",
        pushes: pushesWithFaults,
        begin: ({ isolatedPlatform }) => {
            isolatedPlatform.faults.availability = Availability.hanging;
            isolatedPlatform.silenceOpenWatches();
        },
        end: ({ isolatedPlatform }) => {
            isolatedPlatform.faults.availability = Availability.up;
        },
    },
];

/** Milliseconds from the start of a push until its version is active on every router; infinity after a time-out. */
async function measurePush({ standIns, routers }: Environment, sheet: string): Promise<number> {
    const startedAt = performance.now();
    const { version } = await pushSheet(standIns, sheet, "bench");
    while (routers.running.some(({ router }) => router.configurations.current.version < version)) {
        if (performance.now() - startedAt > pushTimeoutMilliseconds) {
            return Number.POSITIVE_INFINITY;
        }
        await delay(pollMilliseconds);
    }
    return performance.now() - startedAt;
}

async function runScenario(environment: Environment, scenario: Scenario, sheet: string): Promise<Figure[]> {
    scenario.begin(environment);
    const times: number[] = [];
    for (let push = 0; push < scenario.pushes; push++) {
        times.push(await measurePush(environment, sheet.replace("a truck waits", `push ${push}: a truck waits`)));
    }
    scenario.end(environment);
    await delay(settleMilliseconds);
    const name = `push to in force at all, ${scenario.name}`;
    return [
        { bench: "configuration", figure: `${name}, p50`, value: quantile(times, 0.5), unit: "ms" },
        { bench: "configuration", figure: `${name}, p95`, value: quantile(times, 0.95), unit: "ms" },
        {
            bench: "configuration",
            figure: `${name}, maximum of ${scenario.pushes}`,
            value: Math.max(...times),
            unit: "ms",
            bound: atMost(activationBoundMilliseconds),
        },
    ];
}

export const benchmark: Benchmark = {
    name: "configuration",
    async run() {
        const sheet = await readFile("examples/haddow.csv", "utf8");
        const standIns = new StandInFleet({ configuration: createEmptyConfiguration(), locations, seed: 1 });
        await standIns.start();
        const isolatedPlatform = standIns.platform.createClient();
        const isolatedPlatformServer = new PlatformServer(isolatedPlatform);
        await isolatedPlatformServer.start();
        await pushSheet(standIns, sheet, "bench");
        const routers = new RouterFleet(standIns, locations);
        while (routers.running.length < routerTotal) {
            const isIsolated = routers.running.length % isolatedRouterInterval === 1;
            await routers.add(isIsolated ? isolatedPlatformServer.address : undefined);
        }
        await delay(settleMilliseconds);
        const environment: Environment = { standIns, routers, isolatedPlatform };
        const figures: Figure[] = [];
        for (const scenario of scenarios) {
            figures.push(...await runScenario(environment, scenario, sheet));
        }
        await routers.stopAll();
        const revertedRouters =
            routers.running.filter(({ versions }) =>
                versions.some((version, index) => index > 0 && version <= versions[index - 1]!)
            ).length;
        await isolatedPlatformServer.stop();
        await standIns.stop();
        return [
            ...figures,
            {
                bench: "configuration",
                figure: "routers that went back",
                value: revertedRouters,
                unit: "routers",
                bound: atMost(0),
            },
        ];
    },
};
