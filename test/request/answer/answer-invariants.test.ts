/**
 * Invariants of answers under random fault schedules, checked against the attempts and layer runs that the stand-in
 * engines recorded.
 */
import { describe, expect, jest, test } from "@jest/globals";
import fastCheck from "fast-check";
import { AnswerSimulation, layerTotal, type SimulatedCaller } from "../../../bench/answer-simulation.js";
import type { FrameFault, LayerRun, StandInEngine } from "../../../src/stand-ins/backend-server/index.js";

const callerCount = 4;
const tokensPerAnswer = 30;
const timeoutMilliseconds = 12_000;

const faultKinds = [
    "die",
    "stall",
    "mend",
    "freeze",
    "break",
    "refuse",
    "drain",
    "link-cut",
    "link-silent",
    "link-slow",
    "frame-drop",
    "frame-duplicate",
    "frame-delay",
    "frame-cross",
    "frame-layers",
    "caller-pause",
    "caller-resume",
    "caller-gone",
] as const;

interface FaultEvent {
    /** Milliseconds after the callers start. */
    readonly at: number;
    readonly kind: typeof faultKinds[number];
    /** Selects the affected caller, engine and next engine, modulo their number. */
    readonly pick: number;
}

const faultEvent = fastCheck.record({
    at: fastCheck.integer({ min: 0, max: 3_000 }),
    kind: fastCheck.constantFrom(...faultKinds),
    pick: fastCheck.nat({ max: 1_000 }),
});

function frameFault(kind: string, world: AnswerSimulation): FrameFault {
    const other = [...world.engines.values()].flatMap(engine => engine.record.attempts)[0];
    switch (kind) {
        case "frame-drop":
            return { kind: "drop" };
        case "frame-duplicate":
            return { kind: "duplicate" };
        case "frame-delay":
            return { kind: "delay", milliseconds: 70 };
        case "frame-cross":
            return { kind: "cross", attemptId: other?.request.attemptId ?? "other" };
        default:
            return { kind: "layers", layers: [{ first: 0, last: layerTotal - 2 }] };
    }
}

/** Injects the fault into every third token frame for 400 ms. */
function setFrameFaults(engine: StandInEngine, kind: string, world: AnswerSimulation): void {
    let frames = 0;
    engine.frameFaults = frame => frame.type === "token" && ++frames % 3 === 0 ? frameFault(kind, world) : undefined;
    setTimeout(() => engine.frameFaults = undefined, 400);
}

function applyFault(
    { kind, pick }: FaultEvent,
    world: AnswerSimulation,
    startedCallers: readonly SimulatedCaller[],
): void {
    const engines = [...world.engines.values()];
    const caller = startedCallers[pick % startedCallers.length]!;
    const usedEngines = world.enginesOf(caller.requestId);
    const engine = usedEngines[pick % Math.max(1, usedEngines.length)] ?? engines[pick % engines.length]!;
    const next = usedEngines[(pick + 1) % Math.max(1, usedEngines.length)] ?? engines[(pick + 1) % engines.length]!;
    const link = world.connectionsByServer.get(engine.id)!;
    switch (kind) {
        case "die":
            return engine.die();
        case "stall":
            return engine.setStalled(true);
        case "mend":
            engines.forEach(other => other.setStalled(false));
            world.connectionsByServer.forEach(other => other.refusing = false);
            return;
        case "freeze":
            return link.freeze();
        case "break":
            return link.break();
        case "refuse":
            link.refusing = true;
            return;
        case "drain":
            return engine.drain();
        case "link-cut":
            return world.network.setFault(engine.address, next.address, { kind: "cut" });
        case "link-silent":
            return world.network.setFault(engine.address, next.address, { kind: "silent" });
        case "link-slow":
            return world.network.setFault(engine.address, next.address, { kind: "slow", factor: 300 });
        case "caller-pause":
            return caller.answer!.pause();
        case "caller-resume":
            return caller.answer!.resume();
        case "caller-gone":
            return caller.disconnect();
        default:
            return setFrameFaults(engine, kind, world);
    }
}

function checkLayerRuns(world: AnswerSimulation, caller: SimulatedCaller): void {
    const runsByPosition = new Map<string, LayerRun[]>();
    for (const engine of world.engines.values()) {
        for (const run of engine.record.runs.filter(layerRun => layerRun.requestId === caller.requestId)) {
            const key = `${run.attemptId} ${run.position}`;
            runsByPosition.set(key, [...runsByPosition.get(key) ?? [], run]);
        }
    }
    const completePositions = new Set<number>();
    for (const runs of runsByPosition.values()) {
        const sorted = [...runs].sort((left, right) => left.layers.first - right.layers.first);
        sorted.slice(1).forEach((run, index) => expect(run.layers.first).toBe(sorted[index]!.layers.last + 1));
        if (sorted[0]!.layers.first === 0 && sorted.at(-1)!.layers.last === layerTotal - 1) {
            completePositions.add(runs[0]!.position);
        }
    }
    for (let position = 0; position < caller.tokenCount; position++) {
        expect(completePositions).toContain(position);
    }
}

function checkInvariants(world: AnswerSimulation, startedCallers: readonly SimulatedCaller[]): void {
    for (const caller of startedCallers) {
        expect(caller.intact).toBe(true);
        expect(caller.end !== undefined || caller.error !== undefined).toBe(true);
        checkLayerRuns(world, caller);
        if (caller.error?.outcome === "not-run") {
            expect([...world.engines.values()].some(engine => engine.record.hasRunRequest(caller.requestId))).toBe(
                false,
            );
        }
        else if (caller.error !== undefined) {
            expect(caller.error.outcome).toBe("failed");
        }
    }
    expect(world.stagesInFlight).toBe(0);
}

async function runSchedule(seed: number, schedule: readonly FaultEvent[]): Promise<SimulatedCaller[]> {
    const world = new AnswerSimulation({
        seed,
        availabilityZones: 2,
        serversForEachHalf: 2,
        layerTokensPerSecond: 40_000,
    });
    await jest.advanceTimersByTimeAsync(300);
    const startedCallers = Array.from(
        { length: callerCount },
        (_unused, index) => world.startCaller(`request-${index}`, 200, tokensPerAnswer, timeoutMilliseconds),
    );
    let now = 0;
    for (const event of [...schedule].sort((left, right) => left.at - right.at)) {
        await jest.advanceTimersByTimeAsync(event.at - now);
        now = event.at;
        applyFault(event, world, startedCallers);
    }
    await jest.advanceTimersByTimeAsync(timeoutMilliseconds + 100);
    checkInvariants(world, startedCallers);
    world.stop();
    return startedCallers;
}

describe("answers under random faults", () => {
    test("reach their own caller intact, run layers once in order and report not-run only if no layer ran", async () => {
        await fastCheck.assert(
            fastCheck.asyncProperty(
                fastCheck.nat({ max: 1_000 }),
                fastCheck.array(faultEvent, { minLength: 1, maxLength: 10 }),
                async (seed, schedule) => {
                    await runSchedule(seed, schedule);
                },
            ),
            { seed: 20, numRuns: 80 },
        );
    });

    test("complete without an error after any single fault of an engine or link", async () => {
        const nonCallerFault = faultEvent.filter(event => !event.kind.startsWith("caller"));
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.nat({ max: 1_000 }), nonCallerFault, async (seed, event) => {
                const startedCallers = await runSchedule(seed, [event]);
                startedCallers.forEach(caller => expect(caller.error).toBeUndefined());
            }),
            { seed: 21, numRuns: 60 },
        );
    });
});
