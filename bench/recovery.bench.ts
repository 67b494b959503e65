/**
 * Recovery of answers in progress when a backend server dies or stalls, its connection goes silent, or a link between
 * backend servers degrades: the time from the fault to the caller's next token, and the tokens computed again. The
 * baseline restarts the answer from the beginning.
 */
import "./fake-clock.js";
import { monotonicNow } from "../src/common/clock.js";
import { randomInteger, SeededRandom } from "../src/common/random.js";
import { RecoveryStrategy } from "../src/request/answer/dependencies.js";
import type { StandInEngine } from "../src/stand-ins/backend-server/index.js";
import { AnswerSimulation, type SimulatedCaller } from "./answer-simulation.js";
import { fakeClock, runUntilSettled } from "./fake-clock.js";
import { atMost, type Benchmark, type Figure, quantile } from "./figures.js";

/** The longest time to the next token that the users accept. */
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
    repeatedDeath: "death twice",
    deathOverDegradedLink: "death with a degraded link",
} as const;
type Fault = typeof Fault[keyof typeof Fault];

interface TrialResult {
    /** From the fault to the next token, for each answer in progress at the time of the fault. */
    readonly nextTokenMilliseconds: readonly number[];
    readonly recomputedTokens: number;
    /** Answers that are incomplete, repeated or mixed up with those of other callers. */
    readonly incorrectAnswers: number;
}

const advanceClock = (milliseconds: number) => fakeClock.tickAsync(milliseconds);

function setLinkFault(
    simulation: AnswerSimulation,
    [from, to]: readonly StandInEngine[],
    kind: "slow" | "silent",
): void {
    const fault = kind === "slow" ? { kind, factor: 200 } : { kind };
    simulation.network.setFault(from!.address, to!.address, fault);
    simulation.network.setFault(to!.address, from!.address, fault);
}

/** Injects the fault into backend servers or links that the caller's answer uses. */
async function inject(
    fault: Fault,
    simulation: AnswerSimulation,
    affectedCaller: SimulatedCaller,
    random: SeededRandom,
): Promise<void> {
    const stageEngines = simulation.enginesOf(affectedCaller.requestId);
    const server = stageEngines[randomInteger(random, stageEngines.length)]!;
    switch (fault) {
        case Fault.death:
            server.die();
            return;
        case Fault.stall:
            server.setStalled(true);
            return;
        case Fault.silentConnection:
            simulation.connectionsByServer.get(stageEngines[0]!.id)!.freeze();
            return;
        case Fault.silentLink:
            setLinkFault(simulation, stageEngines, "silent");
            return;
        case Fault.degradedLink:
            setLinkFault(simulation, stageEngines, "slow");
            return;
        case Fault.repeatedDeath:
            server.die();
            await advanceClock(40);
            simulation.enginesOf(affectedCaller.requestId).find(engine => engine.alive)?.die();
            return;
        case Fault.deathOverDegradedLink:
            setLinkFault(simulation, stageEngines, "slow");
            server.die();
    }
}

async function runTrial(fault: Fault, seed: number, recovery: RecoveryStrategy): Promise<TrialResult> {
    const random = new SeededRandom(seed);
    const simulation = new AnswerSimulation({
        seed,
        availabilityZones: 3,
        serversForEachHalf: 2,
        layerTokensPerSecond,
        recovery,
    });
    await advanceClock(warmUpMilliseconds);
    const callers: SimulatedCaller[] = [];
    for (let index = 0; index < callersInTrial; index++) {
        callers.push(simulation.startCaller(`request-${seed}-${index}`, promptCharacters, tokensInAnswer));
        await advanceClock(randomInteger(random, 20));
    }
    await advanceClock(randomInteger(random, latestFaultMilliseconds));
    const running = callers.filter(caller => caller.end === undefined && caller.tokenCount > 0);
    await inject(fault, simulation, running[randomInteger(random, running.length)] ?? callers[0]!, random);
    const faultAt = monotonicNow();
    await runUntilSettled(Promise.all(callers.map(async caller => caller.done)));
    const nextTokens = running.flatMap(caller => {
        const next = caller.tokenTimes.find(time => time > faultAt);
        return next === undefined ? [] : [next - faultAt];
    });
    const recomputed = callers.reduce((total, caller) => total + simulation.recomputedTokens(caller), 0);
    simulation.stop();
    const incorrectAnswers = callers.filter(caller => !caller.intact || caller.end === undefined).length;
    return { nextTokenMilliseconds: nextTokens, recomputedTokens: recomputed, incorrectAnswers };
}

async function runFault(fault: Fault, recovery: RecoveryStrategy): Promise<TrialResult> {
    const nextTokenMilliseconds: number[] = [];
    let recomputedTokens = 0;
    let incorrectAnswers = 0;
    for (let trial = 0; trial < trialsForEachFault; trial++) {
        const result = await runTrial(fault, trial + 1, recovery);
        nextTokenMilliseconds.push(...result.nextTokenMilliseconds);
        recomputedTokens += result.recomputedTokens;
        incorrectAnswers += result.incorrectAnswers;
    }
    return { nextTokenMilliseconds, recomputedTokens, incorrectAnswers };
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
                value: resumed.incorrectAnswers,
                unit: "answers",
                bound: atMost(0),
                baseline: restarted.incorrectAnswers,
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
