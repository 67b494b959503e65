/**
 * Fairness among ten customers of equal weight when one of them offers ten times its share: the other customers' time
 * to first token and the part of its fair share that each receives, with weighted fair admission and, as the baseline,
 * with first-come, first-served admission.
 */
import "./fake-clock.js";
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
import { fakeClock } from "./fake-clock.js";
import { atLeast, atMost, type Benchmark, type Figure, quantile } from "./figures.js";

/** Bounds required by the users. */
const firstTokenBoundMilliseconds = 1_600;
const minimumShareBound = 0.95;

const customerTotal = 10;
const overloadFactor = 10;
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
/** Concurrent callers while the capacity is measured; enough to keep the admission queue from running empty. */
const saturatingCallers = 200;
const refusedRetryMilliseconds = 100;

interface CustomerResult {
    readonly name: string;
    offeredTokens: number;
    servedTokens: number;
    readonly firstTokenMilliseconds: number[];
}

interface RunResult {
    readonly others: readonly CustomerResult[];
    readonly overloading: CustomerResult;
}

function createSimulation(capacity?: AdaptiveTokenLimit): AnswerSimulation {
    return new AnswerSimulation({
        seed,
        availabilityZones: 2,
        serversForEachHalf: 1,
        layerTokensPerSecond,
        capacity,
    });
}

/**
 * Capacity to be shared, in tokens per second: the tokens served to a single customer that always has requests queued.
 */
async function measureCapacity(): Promise<number> {
    const tokenLimit = new AdaptiveTokenLimit(initialTokenLimit, new SilentMetrics());
    const simulation = createSimulation(tokenLimit);
    const admission = createFairAdmission(tokenLimit);
    const startedAt = monotonicNow();
    const endsAt = startedAt + warmUpMilliseconds + measuredMilliseconds;
    let servedTokens = 0;
    let requestCount = 0;
    const sendContinuously = async (): Promise<void> => {
        while (monotonicNow() < endsAt) {
            const requestId = `capacity-${requestCount++}`;
            const used = await sendRequest(admission, simulation, requestId, "customer", monotonicNow());
            const now = monotonicNow();
            servedTokens += now > startedAt + warmUpMilliseconds && now <= endsAt ? used : 0;
            await delay(used === 0 ? refusedRetryMilliseconds : 0);
        }
    };
    const loops = Array.from({ length: saturatingCallers }, sendContinuously);
    await fakeClock.tickAsync(warmUpMilliseconds + measuredMilliseconds + drainMilliseconds);
    await Promise.all(loops);
    simulation.stop();
    return (servedTokens * 1_000) / measuredMilliseconds;
}

/** Sends one request and returns the tokens served: 0 if it was refused or its answer is incomplete. */
async function sendRequest(
    admission: Admission,
    simulation: AnswerSimulation,
    requestId: string,
    customerName: string,
    arrivedAt: number,
    onFirstToken: (milliseconds: number) => void = () => undefined,
): Promise<number> {
    const admitted = admission.admit({
        requestId,
        customer: createCustomer(customerName),
        route,
        tokens: tokensInRequest,
        deadline: arrivedAt + timeoutMilliseconds,
    });
    const ticket = await admitted.catch(() => undefined);
    if (ticket === undefined) {
        return 0;
    }
    const caller = simulation.startCaller(requestId, promptCharacters, answerTokens, timeoutMilliseconds);
    await caller.done;
    ticket.release(usedTokens(caller));
    onFirstToken((caller.firstTokenAt ?? Infinity) - arrivedAt);
    return caller.end === undefined ? 0 : usedTokens(caller);
}

/**
 * Runs a load in which the first customer offers ten times its share and every other customer `othersLoadFactor` times
 * its share.
 */
async function runOverload(
    admission: Admission,
    simulation: AnswerSimulation,
    capacity: number,
    othersLoadFactor: number,
): Promise<RunResult> {
    const random = new SeededRandom(seed);
    const startedAt = monotonicNow();
    const isMeasured = (time: number) =>
        time - startedAt > warmUpMilliseconds && time - startedAt <= warmUpMilliseconds + measuredMilliseconds;
    const results = Array.from({ length: customerTotal }, (_unused, index): CustomerResult => ({
        name: `customer-${index}`,
        offeredTokens: 0,
        servedTokens: 0,
        firstTokenMilliseconds: [],
    }));
    let requestCount = 0;

    const runRequest = async (result: CustomerResult): Promise<void> => {
        const arrivedAt = monotonicNow();
        const requestId = `request-${requestCount++}`;
        if (isMeasured(arrivedAt)) {
            result.offeredTokens += tokensInRequest;
        }
        const used = await sendRequest(admission, simulation, requestId, result.name, arrivedAt, milliseconds => {
            if (isMeasured(arrivedAt)) {
                result.firstTokenMilliseconds.push(milliseconds);
            }
        });
        result.servedTokens += isMeasured(arrivedAt) ? used : 0;
    };

    const generateLoad = async (result: CustomerResult, tokensPerSecond: number): Promise<void> => {
        const meanArrivalGapMilliseconds = (tokensInRequest * 1_000) / tokensPerSecond;
        while (monotonicNow() - startedAt < warmUpMilliseconds + measuredMilliseconds) {
            await new Promise(resolve =>
                setTimeout(resolve, -Math.log(1 - random.next()) * meanArrivalGapMilliseconds)
            );
            void runRequest(result);
        }
    };

    const share = capacity / customerTotal;
    results.forEach((result, index) =>
        void generateLoad(result, share * (index === 0 ? overloadFactor : othersLoadFactor))
    );
    await fakeClock.tickAsync(warmUpMilliseconds + measuredMilliseconds + drainMilliseconds);
    simulation.stop();
    return { overloading: results[0]!, others: results.slice(1) };
}

function usedTokens(caller: SimulatedCaller): number {
    return estimatePromptTokens(caller.messages) + caller.tokenCount;
}

function createCustomer(name: string): Customer {
    return { name, keyHashes: [], weight: 1, tokensPerSecond: 1e9, burstTokens: 1e9 };
}

function createFairAdmission(tokenLimit: AdaptiveTokenLimit): FairAdmission {
    return new FairAdmission({
        limits: new CustomerLimits({ members: () => [], reportDemand: () => undefined, fleetDemand: () => 0 }),
        tokenLimit,
        logger: new SilentLogger(),
        metrics: new SilentMetrics(),
    });
}

function totalServedTokens(result: RunResult): number {
    return [...result.others, result.overloading].reduce((total, { servedTokens }) => total + servedTokens, 0);
}

/**
 * The lowest ratio, among the other customers, of the tokens served to the tokens due. A customer is due a tenth of all
 * tokens served, or the tokens that it requested if those are fewer.
 */
function minimumShare(result: RunResult): number {
    const fairShare = totalServedTokens(result) / customerTotal;
    return Math.min(...result.others.map(other => other.servedTokens / Math.min(fairShare, other.offeredTokens)));
}

function firstTokenP95(result: RunResult): number {
    return quantile(result.others.flatMap(other => other.firstTokenMilliseconds), 0.95);
}

/** Loads that every customer but the first offers, as multiples of its share. */
const loads = [
    { name: "others within their share", loadFactor: 0.8 },
    { name: "others at exactly their share", loadFactor: 1 },
    { name: "others above their share", loadFactor: 1.3 },
] as const;

async function runLoad(
    { name, loadFactor }: typeof loads[number],
    capacity: number,
): Promise<Omit<Figure, "bench">[]> {
    const tokenLimit = new AdaptiveTokenLimit(initialTokenLimit, new SilentMetrics());
    const fair = await runOverload(createFairAdmission(tokenLimit), createSimulation(tokenLimit), capacity, loadFactor);
    const firstCome = await runOverload(
        new FirstComeFirstServedAdmission(tokenLimit.tokens),
        createSimulation(),
        capacity,
        loadFactor,
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
            value: minimumShare(fair),
            unit: "share",
            bound: atLeast(minimumShareBound),
            baseline: minimumShare(firstCome),
        },
        {
            figure: `${name}: tokens served, of the capacity`,
            value: (totalServedTokens(fair) * 1_000) / measuredMilliseconds / capacity,
            unit: "share",
            baseline: (totalServedTokens(firstCome) * 1_000) / measuredMilliseconds / capacity,
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
