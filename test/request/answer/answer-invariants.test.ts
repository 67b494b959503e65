/** What must hold of every answer under random schedules of faults, by the stand-in engines' own record. */
import { describe, expect, jest, test } from "@jest/globals";
import fastCheck from "fast-check";
import { AnswerSimulation, layerTotal, type SimulatedCaller } from "../../../bench/answer-world.js";
import type { FrameFault, LayerRun, StandInEngine } from "../../../src/stand-ins/backend-server/index.js";

const callers = 4;
const tokens = 30;
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
    readonly at: number;
    readonly kind: typeof faultKinds[number];
    /** Picks an engine, another one and a caller. */
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

/** One frame in three is faulty for a while. */
function setFrameFaults(engine: StandInEngine, kind: string, world: AnswerSimulation): void {
    let frames = 0;
    engine.frameFaults = frame => frame.type === "token" && ++frames % 3 === 0 ? frameFault(kind, world) : undefined;
    setTimeout(() => engine.frameFaults = undefined, 400);
}

function apply({ kind, pick }: FaultEvent, world: AnswerSimulation, running: readonly SimulatedCaller[]): void {
    const engines = [...world.engines.values()];
    const caller = running[pick % running.length]!;
    const used = world.enginesOf(caller.requestId);
    const engine = used[pick % Math.max(1, used.length)] ?? engines[pick % engines.length]!;
    const next = used[(pick + 1) % Math.max(1, used.length)] ?? engines[(pick + 1) % engines.length]!;
    const link = world.links.get(engine.id)!;
    switch (kind) {
        case "die":
            return engine.die();
        case "stall":
            return engine.setStalled(true);
        case "mend":
            engines.forEach(one => one.setStalled(false));
            world.links.forEach(one => one.refusing = false);
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
            caller.gone = true;
            return caller.answer!.cancel();
        default:
            return setFrameFaults(engine, kind, world);
    }
}

function checkLayers(world: AnswerSimulation, caller: SimulatedCaller): void {
    const ranges = new Map<string, LayerRun[]>();
    for (const engine of world.engines.values()) {
        for (const run of engine.record.runs.filter(known => known.requestId === caller.requestId)) {
            const key = `${run.attemptId} ${run.position}`;
            ranges.set(key, [...ranges.get(key) ?? [], run]);
        }
    }
    const wholePositions = new Set<number>();
    for (const runs of ranges.values()) {
        const sorted = [...runs].sort((left, right) => left.layers.first - right.layers.first);
        sorted.slice(1).forEach((run, index) => expect(run.layers.first).toBe(sorted[index]!.layers.last + 1));
        if (sorted[0]!.layers.first === 0 && sorted.at(-1)!.layers.last === layerTotal - 1) {
            wholePositions.add(runs[0]!.position);
        }
    }
    for (let position = 0; position < caller.count; position++) {
        expect(wholePositions).toContain(position);
    }
}

function check(world: AnswerSimulation, made: readonly SimulatedCaller[]): void {
    for (const caller of made) {
        expect(caller.intact).toBe(true);
        expect(caller.end !== undefined || caller.error !== undefined || caller.gone).toBe(true);
        checkLayers(world, caller);
        if (caller.error?.outcome === "not-run") {
            expect([...world.engines.values()].some(engine => engine.record.ranRequest(caller.requestId))).toBe(false);
        }
        else if (caller.error !== undefined) {
            expect(caller.error.outcome).toBe("failed");
        }
    }
    expect(world.attemptsInFlight).toBe(0);
}

async function runSchedule(seed: number, schedule: readonly FaultEvent[]): Promise<SimulatedCaller[]> {
    const world = new AnswerSimulation({
        seed,
        availabilityZones: 2,
        serversForEachHalf: 2,
        layerTokensPerSecond: 40_000,
    });
    await jest.advanceTimersByTimeAsync(300);
    const made = Array.from(
        { length: callers },
        (_unused, index) => world.caller(`request-${index}`, 200, tokens, timeoutMilliseconds),
    );
    let now = 0;
    for (const event of [...schedule].sort((left, right) => left.at - right.at)) {
        await jest.advanceTimersByTimeAsync(event.at - now);
        now = event.at;
        apply(event, world, made);
    }
    await jest.advanceTimersByTimeAsync(timeoutMilliseconds + 100);
    check(world, made);
    world.stop();
    return made;
}

describe("answers under random faults", () => {
    test("are whole and the caller's own, run each layer once in order, and tell the truth of what ran", async () => {
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

    test("are always finished when a single fault strikes", async () => {
        const single = faultEvent.filter(event => !event.kind.startsWith("caller"));
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.nat({ max: 1_000 }), single, async (seed, event) => {
                const made = await runSchedule(seed, [event]);
                made.forEach(caller => expect(caller.error).toBeUndefined());
            }),
            { seed: 21, numRuns: 60 },
        );
    });
});
