/**
 * Fifteen routers over real loopback connections: from a push until its version is in force at all of them, clean and
 * under faults of the platform. Parted regions are tested on the paused clock only, in test/process/configuration.
 */
import { readFile } from "node:fs/promises";
import { delay } from "../src/common/clock.js";
import { StandInFleet } from "../src/stand-ins/fleet/stand-in-fleet.js";
import { Availability, PlatformServer, type StandInPlatform } from "../src/stand-ins/platform/index.js";
import { createEmptyConfiguration } from "../src/version/sheet/index.js";
import { atMost, type Benchmark, type Figure, quantile } from "./figures.js";
import { FleetOfRouters, pushSheet } from "./support/fleet-of-routers.js";

const routerTotal = 15;
/** Every third router reaches the platform by a way that the bench can cut. */
const cutOffEvery = 3;
const inForceBoundMilliseconds = 3_000;
const slowPlatformMilliseconds = 500;
const settleMilliseconds = 2_000;
const pollMilliseconds = 2;
const giveUpMilliseconds = 6_000;
const cleanPushes = 30;
const faultyPushes = 8;
const locations = ["kewdale", "malaga", "bibra-lake"].map(availabilityZone => ({ region: "perth", availabilityZone }));

interface Scenario {
    readonly name: string;
    readonly pushes: number;
    begin(world: World): void;
    end(world: World): void;
}

interface World {
    readonly standIns: StandInFleet;
    readonly routers: FleetOfRouters;
    /** The way to the platform of every third router. */
    readonly cuttable: StandInPlatform;
}

const scenarios: readonly Scenario[] = [
    { name: "clean", pushes: cleanPushes, begin: () => undefined, end: () => undefined },
    {
        name: "silent watches",
        pushes: faultyPushes,
        begin: ({ standIns, cuttable }) => {
            for (const platform of [standIns.platform, cuttable]) {
                platform.silenceOpenWatches();
                platform.faults.silentWatches = true;
            }
        },
        end: ({ standIns, cuttable }) => {
            standIns.platform.faults.silentWatches = false;
            cuttable.faults.silentWatches = false;
        },
    },
    {
        name: "slow platform",
        pushes: faultyPushes,
        begin: ({ standIns, cuttable }) => {
            standIns.platform.faults.latencyMilliseconds = slowPlatformMilliseconds;
            cuttable.faults.latencyMilliseconds = slowPlatformMilliseconds;
        },
        end: ({ standIns, cuttable }) => {
            standIns.platform.faults.latencyMilliseconds = 0;
            cuttable.faults.latencyMilliseconds = 0;
        },
    },
    {
        name: "a third of the routers cut off from the platform",
        pushes: faultyPushes,
        begin: ({ cuttable }) => {
            cuttable.faults.availability = Availability.hanging;
            cuttable.silenceOpenWatches();
        },
        end: ({ cuttable }) => {
            cuttable.faults.availability = Availability.up;
        },
    },
];

/** Milliseconds from the start of a push until every router has the version, or infinity. */
async function measurePush({ standIns, routers }: World, sheet: string): Promise<number> {
    const startedAt = performance.now();
    const { version } = await pushSheet(standIns, sheet, "bench");
    while (routers.running.some(({ router }) => router.configurations.current.version < version)) {
        if (performance.now() - startedAt > giveUpMilliseconds) {
            return Number.POSITIVE_INFINITY;
        }
        await delay(pollMilliseconds);
    }
    return performance.now() - startedAt;
}

async function runScenario(world: World, scenario: Scenario, sheet: string): Promise<Figure[]> {
    scenario.begin(world);
    const times: number[] = [];
    for (let push = 0; push < scenario.pushes; push++) {
        times.push(await measurePush(world, sheet.replace("a truck waits", `push ${push}: a truck waits`)));
    }
    scenario.end(world);
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
            bound: atMost(inForceBoundMilliseconds),
        },
    ];
}

export const benchmark: Benchmark = {
    name: "configuration",
    async run() {
        const sheet = await readFile("examples/haddow.csv", "utf8");
        const standIns = new StandInFleet({ configuration: createEmptyConfiguration(), locations, seed: 1 });
        await standIns.start();
        const cuttable = standIns.platform.access();
        const cuttableServer = new PlatformServer(cuttable);
        await cuttableServer.start();
        await pushSheet(standIns, sheet, "bench");
        const routers = new FleetOfRouters(standIns, locations);
        while (routers.running.length < routerTotal) {
            const cut = routers.running.length % cutOffEvery === 1;
            await routers.add(cut ? cuttableServer.address : undefined);
        }
        await delay(settleMilliseconds);
        const world: World = { standIns, routers, cuttable };
        const figures: Figure[] = [];
        for (const scenario of scenarios) {
            figures.push(...await runScenario(world, scenario, sheet));
        }
        await routers.stopAll();
        const reverted =
            routers.running.filter(({ versions }) =>
                versions.some((version, index) => index > 0 && version <= versions[index - 1]!)
            ).length;
        await cuttableServer.stop();
        await standIns.stop();
        return [
            ...figures,
            {
                bench: "configuration",
                figure: "routers that went back",
                value: reverted,
                unit: "routers",
                bound: atMost(0),
            },
        ];
    },
};
