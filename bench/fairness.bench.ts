/**
 * Fairness among ten customers of equal weight when one offers ten times its share: the others' time to the first token
 * and what each gets of its share, with weighted fair admission and with first come, first served.
 */
import "./paused-clock.js";
import { delay, monotonicNow } from "../src/common/clock.js";
import { SilentLogger } from "../src/common/logger.js";
import { SilentMetrics } from "../src/common/metrics.js";
import { SeededRandom } from "../src/common/random.js";
import type { Customer } from "../src/domain/configuration.js";
import { estimatePromptTokens } from "../src/domain/prefix-blocks.js";
import { CustomerLimits } from "../src/process/customer-limits/customer-limits.js";
import { AdaptiveTokenLimit } from "../src/request/admission/adaptive-token-limit.js";
import { FairAdmission } from "../src/request/admission/fair-admission.js";
import { FirstComeFirstServedAdmission } from "../src/request/admission/first-come-first-served-admission.js";
import type { Admission } from "../src/request/admission/types.js";
import { AnswerSimulation, route, type SimulatedCaller } from "./answer-simulation.js";
import { atLeast, atMost, type Benchmark, type Figure, quantile } from "./figures.js";
import { pausedClock } from "./paused-clock.js";

/** The users' bounds. */
const firstTokenBoundMilliseconds = 1_600;
const shareBound = 0.95;

const customerTotal = 10;
const stormFactor = 10;
const promptCharacters = 400;
const answerTokens = 60;
const tokensInRequest = promptCharacters / 4 + answerTokens;
const seed = 5;
const warmUpMilliseconds = 15_000;
const measuredMilliseconds = 40_000;
const drainMilliseconds = 30_000;
const timeoutMilliseconds = 30_000;
const layerTokensPerSecond = 30_000;
const initialTokenLimit = 8_000;
/** Callers of the measurement of capacity, enough to have some always waiting. */
const saturatingCallers = 200;
const refusedPauseMilliseconds = 100;

interface CustomerResult {
    readonly name: string;
    offeredTokens: number;
    servedTokens: number;
    readonly firstTokenMilliseconds: number[];
}

interface RunResult {
    readonly others: readonly CustomerResult[];
    readonly storm: CustomerResult;
}

function createWorld(capacity?: AdaptiveTokenLimit): AnswerSimulation {
    return new AnswerSimulation({
        seed,
        availabilityZones: 2,
        serversForEachHalf: 1,
        layerTokensPerSecond,
        capacity,
    });
}

/** Tokens that one customer alone is served in a second when it always has enough to ask: what there is to share. */
async function measureCapacity(): Promise<number> {
    const tokenLimit = new AdaptiveTokenLimit(initialTokenLimit, new SilentMetrics());
    const world = createWorld(tokenLimit);
    const admission = fairAdmission(tokenLimit);
    const startedAt = monotonicNow();
    const endsAt = startedAt + warmUpMilliseconds + measuredMilliseconds;
    let servedTokens = 0;
    let serial = 0;
    const keepAsking = async (): Promise<void> => {
        while (monotonicNow() < endsAt) {
            const requestId = `capacity-${serial++}`;
            const used = await ask(admission, world, requestId, "customer", monotonicNow());
            const now = monotonicNow();
            servedTokens += now > startedAt + warmUpMilliseconds && now <= endsAt ? used : 0;
            await delay(used === 0 ? refusedPauseMilliseconds : 0);
        }
    };
    const loops = Array.from({ length: saturatingCallers }, keepAsking);
    await pausedClock.tickAsync(warmUpMilliseconds + measuredMilliseconds + drainMilliseconds);
    await Promise.all(loops);
    world.stop();
    return (servedTokens * 1_000) / measuredMilliseconds;
}

/** The tokens that were served; none if the request was refused or its answer is not whole. */
async function ask(
    admission: Admission,
    world: AnswerSimulation,
    requestId: string,
    customerName: string,
    arrivedAt: number,
    firstToken: (milliseconds: number) => void = () => undefined,
): Promise<number> {
    const admitted = admission.admit({
        requestId,
        customer: customer(customerName),
        route,
        tokens: tokensInRequest,
        deadline: arrivedAt + timeoutMilliseconds,
    });
    const ticket = await admitted.catch(() => undefined);
    if (ticket === undefined) {
        return 0;
    }
    const caller = world.startCaller(requestId, promptCharacters, answerTokens, timeoutMilliseconds);
    await caller.done;
    ticket.release(usedTokens(caller));
    firstToken((caller.firstTokenAt ?? Infinity) - arrivedAt);
    return caller.end === undefined ? 0 : usedTokens(caller);
}

/** One customer offers ten times its share, each other one the given part of it. */
async function runStorm(
    admission: Admission,
    world: AnswerSimulation,
    capacity: number,
    othersPart: number,
): Promise<RunResult> {
    const random = new SeededRandom(seed);
    const startedAt = monotonicNow();
    const measured = (time: number) =>
        time - startedAt > warmUpMilliseconds && time - startedAt <= warmUpMilliseconds + measuredMilliseconds;
    const results = Array.from({ length: customerTotal }, (_unused, index): CustomerResult => ({
        name: `customer-${index}`,
        offeredTokens: 0,
        servedTokens: 0,
        firstTokenMilliseconds: [],
    }));
    let serial = 0;

    const request = async (result: CustomerResult): Promise<void> => {
        const arrivedAt = monotonicNow();
        const requestId = `request-${serial++}`;
        if (measured(arrivedAt)) {
            result.offeredTokens += tokensInRequest;
        }
        const used = await ask(admission, world, requestId, result.name, arrivedAt, milliseconds => {
            if (measured(arrivedAt)) {
                result.firstTokenMilliseconds.push(milliseconds);
            }
        });
        result.servedTokens += measured(arrivedAt) ? used : 0;
    };

    const offer = async (result: CustomerResult, tokensPerSecond: number): Promise<void> => {
        const meanGap = (tokensInRequest * 1_000) / tokensPerSecond;
        while (monotonicNow() - startedAt < warmUpMilliseconds + measuredMilliseconds) {
            await new Promise(resolve => setTimeout(resolve, -Math.log(1 - random.next()) * meanGap));
            void request(result);
        }
    };

    const share = capacity / customerTotal;
    results.forEach((result, index) => void offer(result, share * (index === 0 ? stormFactor : othersPart)));
    await pausedClock.tickAsync(warmUpMilliseconds + measuredMilliseconds + drainMilliseconds);
    world.stop();
    return { storm: results[0]!, others: results.slice(1) };
}

function usedTokens(caller: SimulatedCaller): number {
    return estimatePromptTokens(caller.messages) + caller.count;
}

function customer(name: string): Customer {
    return { name, keyHashes: [], weight: 1, tokensPerSecond: 1e9, burstTokens: 1e9 };
}

function fairAdmission(tokenLimit: AdaptiveTokenLimit): FairAdmission {
    return new FairAdmission({
        limits: new CustomerLimits({ members: () => [], reportDemand: () => undefined, fleetDemand: () => 0 }),
        tokenLimit,
        logger: new SilentLogger(),
        metrics: new SilentMetrics(),
    });
}

function served(result: RunResult): number {
    return [...result.others, result.storm].reduce((total, { servedTokens }) => total + servedTokens, 0);
}

/**
 * The least that one of the others got, as a share of what it was entitled to: a tenth of what all were served, or what
 * it asked for if that is less.
 */
function leastShare(result: RunResult): number {
    const entitled = served(result) / customerTotal;
    return Math.min(...result.others.map(other => other.servedTokens / Math.min(entitled, other.offeredTokens)));
}

function firstTokenP95(result: RunResult): number {
    return quantile(result.others.flatMap(other => other.firstTokenMilliseconds), 0.95);
}

/** What the other customers offer, as a part of their share. */
const loads = [
    { name: "others within their share", part: 0.8 },
    { name: "others at exactly their share", part: 1 },
    { name: "others above their share", part: 1.3 },
] as const;

async function runLoad(
    { name, part }: typeof loads[number],
    capacity: number,
): Promise<Omit<Figure, "bench">[]> {
    const tokenLimit = new AdaptiveTokenLimit(initialTokenLimit, new SilentMetrics());
    const fair = await runStorm(fairAdmission(tokenLimit), createWorld(tokenLimit), capacity, part);
    const firstCome = await runStorm(
        new FirstComeFirstServedAdmission(tokenLimit.tokens),
        createWorld(),
        capacity,
        part,
    );
    return [
        {
            figure: `${name}: their time to first token, p95`,
            value: firstTokenP95(fair),
            unit: "ms",
            bound: atMost(firstTokenBoundMilliseconds),
            baseline: firstTokenP95(firstCome),
        },
        {
            figure: `${name}: least share that one of them got`,
            value: leastShare(fair),
            unit: "share",
            bound: atLeast(shareBound),
            baseline: leastShare(firstCome),
        },
        {
            figure: `${name}: tokens served, of the capacity`,
            value: (served(fair) * 1_000) / measuredMilliseconds / capacity,
            unit: "share",
            baseline: (served(firstCome) * 1_000) / measuredMilliseconds / capacity,
        },
    ];
}

export const benchmark: Benchmark = {
    name: "fairness",
    async run() {
        const capacity = await measureCapacity();
        const figures: Omit<Figure, "bench">[] = [{ figure: "capacity", value: capacity, unit: "tokens/s" }];
        for (const load of loads) {
            figures.push(...await runLoad(load, capacity));
        }
        return figures.map(figure => ({ bench: "fairness", ...figure }));
    },
};
