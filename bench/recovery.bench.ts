/**
 * Recovery of answers under way when a backend server dies, stalls, its connection goes silent, or a link degrades:
 * the time from the fault to the caller's next token, and the tokens computed again beside a whole restart.
 */
import "./paused-clock.js";
import { monotonicNow } from "../src/common/clock.js";
import { randomInteger, SeededRandom } from "../src/common/random.js";
import { RecoveryStrategy } from "../src/request/answer/dependencies.js";
import type { StandInEngine } from "../src/stand-ins/backend-server/index.js";
import { AnswerSimulation, type SimulatedCaller } from "./answer-simulation.js";
import { atMost, type Benchmark, type Figure, quantile } from "./figures.js";
import { pausedClock, runUntilSettled } from "./paused-clock.js";

/** The users' bound on the time to a token. */
const nextTokenBoundMilliseconds = 1_600;
const trialsForEachFault = 6;
const callersInTrial = 16;
const tokensInAnswer = 120;
const promptCharacters = 2_000;
const layerTokensPerSecond = 40_000;
const latestFaultMilliseconds = 1_500;
const warmUpMilliseconds = 700;

const Fault = {
    death: "death",
    stall: "stall",
    silentConnection: "silent connection",
    silentLink: "silent link",
    degradedLink: "degraded link",
    twice: "death twice",
    deathOverDegradedLink: "death with a degraded link",
} as const;
type Fault = typeof Fault[keyof typeof Fault];

interface TrialResult {
    readonly nextTokenMilliseconds: readonly number[];
    readonly recomputedTokens: number;
    readonly notWhole: number;
}

const settle = (milliseconds: number) => pausedClock.tickAsync(milliseconds);

function degrade(world: AnswerSimulation, [from, to]: readonly StandInEngine[], kind: "slow" | "silent"): void {
    const fault = kind === "slow" ? { kind, factor: 200 } : { kind };
    world.network.setFault(from!.address, to!.address, fault);
    world.network.setFault(to!.address, from!.address, fault);
}

/** Brings the fault about at servers that the caller's answer uses. */
async function inject(
    fault: Fault,
    world: AnswerSimulation,
    victim: SimulatedCaller,
    random: SeededRandom,
): Promise<void> {
    const stages = world.enginesOf(victim.requestId);
    const server = stages[randomInteger(random, stages.length)]!;
    switch (fault) {
        case Fault.death:
            server.die();
            return;
        case Fault.stall:
            server.setStalled(true);
            return;
        case Fault.silentConnection:
            world.links.get(stages[0]!.id)!.freeze();
            return;
        case Fault.silentLink:
            degrade(world, stages, "silent");
            return;
        case Fault.degradedLink:
            degrade(world, stages, "slow");
            return;
        case Fault.twice:
            server.die();
            await settle(40);
            world.enginesOf(victim.requestId).find(engine => engine.alive)?.die();
            return;
        case Fault.deathOverDegradedLink:
            degrade(world, stages, "slow");
            server.die();
    }
}

async function runTrial(fault: Fault, seed: number, recovery: RecoveryStrategy): Promise<TrialResult> {
    const random = new SeededRandom(seed);
    const world = new AnswerSimulation({
        seed,
        availabilityZones: 3,
        serversForEachHalf: 2,
        layerTokensPerSecond,
        recovery,
    });
    await settle(warmUpMilliseconds);
    const callers: SimulatedCaller[] = [];
    for (let index = 0; index < callersInTrial; index++) {
        callers.push(world.startCaller(`request-${seed}-${index}`, promptCharacters, tokensInAnswer));
        await settle(randomInteger(random, 20));
    }
    await settle(randomInteger(random, latestFaultMilliseconds));
    const running = callers.filter(caller => caller.end === undefined && caller.count > 0);
    await inject(fault, world, running[randomInteger(random, running.length)] ?? callers[0]!, random);
    const faultAt = monotonicNow();
    await runUntilSettled(Promise.all(callers.map(async caller => caller.done)));
    const nextTokens = running.flatMap(caller => {
        const next = caller.tokenTimes.find(time => time > faultAt);
        return next === undefined ? [] : [next - faultAt];
    });
    const recomputed = callers.reduce((total, caller) => total + world.recomputedTokens(caller), 0);
    world.stop();
    const notWhole = callers.filter(caller => !caller.intact || caller.end === undefined).length;
    return { nextTokenMilliseconds: nextTokens, recomputedTokens: recomputed, notWhole };
}

async function runFault(fault: Fault, recovery: RecoveryStrategy): Promise<TrialResult> {
    const nextTokenMilliseconds: number[] = [];
    let recomputedTokens = 0;
    let notWhole = 0;
    for (let trial = 0; trial < trialsForEachFault; trial++) {
        const result = await runTrial(fault, trial + 1, recovery);
        nextTokenMilliseconds.push(...result.nextTokenMilliseconds);
        recomputedTokens += result.recomputedTokens;
        notWhole += result.notWhole;
    }
    return { nextTokenMilliseconds, recomputedTokens, notWhole };
}

export const benchmark: Benchmark = {
    name: "recovery",
    async run() {
        const figures: Figure[] = [];
        const add = (figure: Omit<Figure, "bench">) => figures.push({ bench: "recovery", ...figure });
        let resumedTokens = 0;
        let restartedTokens = 0;
        for (const fault of Object.values(Fault)) {
            const resumed = await runFault(fault, RecoveryStrategy.resume);
            const restarted = await runFault(fault, RecoveryStrategy.restart);
            resumedTokens += resumed.recomputedTokens;
            restartedTokens += restarted.recomputedTokens;
            add({
                figure: `${fault}: fault to next token, p95`,
                value: quantile(resumed.nextTokenMilliseconds, 0.95),
                unit: "ms",
                bound: atMost(nextTokenBoundMilliseconds),
                baseline: quantile(restarted.nextTokenMilliseconds, 0.95),
            });
            add({
                figure: `${fault}: answers lost, repeated or crossed`,
                value: resumed.notWhole,
                unit: "answers",
                bound: atMost(0),
                baseline: restarted.notWhole,
            });
            add({
                figure: `${fault}: tokens computed again`,
                value: Math.round(resumed.recomputedTokens),
                unit: "tokens",
                baseline: Math.round(restarted.recomputedTokens),
            });
        }
        add({
            figure: "tokens computed again, as a share of a whole restart's",
            value: resumedTokens / restartedTokens,
            unit: "share",
            bound: atMost(1),
        });
        return figures;
    },
};
