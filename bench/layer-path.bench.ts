/**
 * Processor time of one choice of a layer path by the gateway, with 39, 216 and 600 engines whose loads are drawn at
 * random. Bounds: 1 ms at 216 engines and 2 ms at 600 (p95), so that a choice on a third of a core takes a small part of
 * the 600 ms within which a stream should begin.
 */
import { SilentLogger } from "../src/common/logger.js";
import { SeededRandom } from "../src/common/random.js";
import { initialPosition } from "../src/domain/gateway/store-position.js";
import type { LoadEstimate } from "../src/process/gateway/fleet-load.js";
import { HalfCopyStandby } from "../src/process/gateway/layer-placement/standby-servers.js";
import { ServerExclusions } from "../src/process/gateway/server-exclusions.js";
import { ServerRegistry } from "../src/process/gateway/server-registry.js";
import { ReadContext } from "../src/process/gateway/store-observer.js";
import { LayerPathChooser } from "../src/request/gateway/layer-path-chooser.js";
import { CheapestLayerPathFinder } from "../src/request/gateway/layer-path-finder.js";
import {
    createEngineFleet,
    fleetService,
    simulatedEngineProfile,
} from "../src/stand-ins/engine-fleet/sample-fleets.js";
import { atMost, type Benchmark, type Figure, quantile } from "./figures.js";

const fleets = [
    { engines: 39, availabilityZones: 3, boundMilliseconds: undefined },
    { engines: 216, availabilityZones: 5, boundMilliseconds: 1 },
    { engines: 600, availabilityZones: 8, boundMilliseconds: 2 },
] as const;
const warmUpChoices = 200;
const measuredChoices = 1_000;
const maximumRequests = 40;
const size = { promptTokens: 770, outputTokens: 175 };

function createChooser(engines: number, availabilityZones: number): LayerPathChooser {
    const random = new SeededRandom(engines);
    const registry = new ServerRegistry(0, new SilentLogger());
    const entries = createEngineFleet({ engines, availabilityZones });
    registry.replaceAll({
        entries: new Map(entries.map(entry => [entry.id, { entry, position: initialPosition }])),
        position: initialPosition,
        context: ReadContext.continuous,
    });
    const requests = new Map(entries.map(({ id }) => [id, Math.floor(maximumRequests * random.next())]));
    const load: LoadEstimate = {
        requests: id => requests.get(id) ?? 0,
        tokens: id => (requests.get(id) ?? 0) * (size.promptTokens + size.outputTokens),
    };
    const exclusions = new ServerExclusions(new SilentLogger());
    const finder = new CheapestLayerPathFinder(random);
    return new LayerPathChooser(registry, load, exclusions, finder, new HalfCopyStandby(), {
        homeZone: "zone-0",
        leavingUseMilliseconds: 0,
    });
}

function measureChoices(chooser: LayerPathChooser): number[] {
    const times: number[] = [];
    for (let choice = 0; choice < warmUpChoices + measuredChoices; choice++) {
        const before = process.cpuUsage();
        const path = chooser.choose(fleetService, simulatedEngineProfile, size, new Set());
        const { user, system } = process.cpuUsage(before);
        if (path === undefined) {
            throw new RangeError("the fleet holds no complete path");
        }
        if (choice >= warmUpChoices) {
            times.push((user + system) / 1_000);
        }
    }
    return times;
}

export const benchmark: Benchmark = {
    name: "layer-path",
    run(): Promise<readonly Figure[]> {
        return Promise.resolve(fleets.flatMap(({ engines, availabilityZones, boundMilliseconds }) => {
            const times = measureChoices(createChooser(engines, availabilityZones));
            const name = `one choice among ${engines} engines`;
            return [
                { bench: "layer-path", figure: `${name}, p50`, value: quantile(times, 0.5), unit: "ms" },
                {
                    bench: "layer-path",
                    figure: `${name}, p95`,
                    value: quantile(times, 0.95),
                    unit: "ms",
                    ...boundMilliseconds === undefined ? {} : { bound: atMost(boundMilliseconds) },
                },
            ];
        }));
    },
};
