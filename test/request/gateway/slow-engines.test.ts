/** Replays a fleet in which 4 in 10 engines turn 12 times slower for nine seconds, against path choice by load alone. */
import { expect, jest, test } from "@jest/globals";
import { monotonicNow } from "../../../src/common/clock.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import { HalfCopyStandby } from "../../../src/process/gateway/layer-placement/standby-servers.js";
import { AlwaysNominal, ServerSlowdowns } from "../../../src/process/gateway/server-slowdowns.js";
import { CheapestLayerPathFinder } from "../../../src/request/gateway/layer-path-finder.js";
import { EngineFleetSimulation } from "../../../src/stand-ins/engine-fleet/engine-fleet-simulation.js";
import { createEngineFleet, simulatedEngineProfile } from "../../../src/stand-ins/engine-fleet/sample-fleets.js";

const usualRequestsPerSecond = 60;
const slowdown = 12;
const slowSteps = 18;
const stepMilliseconds = 500;
/** Until the leader has asked all engines and the routers have its notice. */
const stepsUntilKnown = 3;

/** `knowledge` is what routers know of the engines' speeds; it is told of each slow engine once that is known. */
function replay(slowdowns: AlwaysNominal | ServerSlowdowns) {
    const simulation = new EngineFleetSimulation({
        engines: createEngineFleet({ engines: 86, availabilityZones: 3 }),
        profile: simulatedEngineProfile,
        routers: 133,
        noticeIntervalMilliseconds: 500,
        maximumTokenMilliseconds: 50,
        random: new SeededRandom(20261206),
        decisions: {
            standbyPolicy: new HalfCopyStandby(),
            slowdowns,
            createFinder: random => new CheapestLayerPathFinder(random),
        },
        logger: new SilentLogger(),
        advanceClock: milliseconds => {
            jest.advanceTimersByTime(milliseconds);
        },
    });
    simulation.run(4_000, usualRequestsPerSecond);
    const engines = [...simulation.engines.values()];
    const slow = engines.filter((_engine, index) => index % 5 < 2);
    slow.forEach(engine => {
        engine.slowdown = slowdown;
    });
    simulation.resetCounts();
    for (let step = 0; step < slowSteps; step++) {
        if (step >= stepsUntilKnown && slowdowns instanceof ServerSlowdowns) {
            slow.forEach(({ entry }) => slowdowns.record(entry.id, slowdown, monotonicNow()));
        }
        simulation.run(stepMilliseconds, usualRequestsPerSecond);
    }
    slow.forEach(engine => {
        engine.slowdown = 1;
    });
    simulation.run(6_000, usualRequestsPerSecond);
    return simulation.currentCounts;
}

test("new requests avoid slow engines", () => {
    const baseline = replay(new AlwaysNominal());
    const counts = replay(new ServerSlowdowns(new SilentMetrics(), new SilentLogger()));
    expect(counts.late / counts.completed).toBeLessThan(0.5 * baseline.late / baseline.completed);
    expect(counts.refused).toBeLessThanOrEqual(baseline.refused);
});
