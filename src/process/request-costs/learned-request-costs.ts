/**
 * Learns what requests cost from those that have ended: output tokens by route and customer, with the caller's hint as a
 * predictor that is corrected by how far hints have been off, and run times of plain services by route and server. Answers
 * the load pattern of requests that look alike and cost very different amounts of work.
 */
import { CostTable } from "./cost-table.js";
import type { CostPrior } from "./learned-cost.js";
import { type LogNormal, meanAbove, meanOf, upperQuantileOf } from "./log-normal.js";
import type {
    OutputEstimate,
    PlainRun,
    RequestCostEstimator,
    RequestOrigin,
    RunTimeEstimate,
    StreamCostQuery,
} from "./types.js";

/** Requests after which a changed route or model has been learnt: a minute at one request a second. */
const routeMemory = 50;
/** A server that turns slow has to be noticed while the requests of one stall are still waiting on it. */
const serverMemory = 10;
/** Before anything is known, two in three answers are within a factor of 2.2 of the typical one, */
const priorOutputLogDeviation = 0.8;
/** and two in three hints are within a factor of two. */
const priorHintLogDeviation = 0.7;
/** Work on a plain service, before any has been seen; only its ratio between servers counts then. */
const priorRunMilliseconds = 100;
const priorRunLogDeviation = 0.8;
/** Servers of one service are taken to be alike until their run times differ: two in three within a factor of 1.6. */
const serverFactorLogDeviation = 0.5;
const serverFactorPrior: CostPrior = {
    mean: Math.exp(serverFactorLogDeviation ** 2 / 2),
    logDeviation: serverFactorLogDeviation,
    predictorLogDeviation: 1,
    memory: serverMemory,
};
const runTimePrior: CostPrior = {
    mean: priorRunMilliseconds,
    logDeviation: priorRunLogDeviation,
    predictorLogDeviation: 1,
    memory: routeMemory,
};

/**
 * Servers whose run times differ by less than a factor of two are taken to be alike: queues and chance make such differences, and a
 * choice that followed them would make longer queues elsewhere.
 */
const distinctLogFactor = Math.log(2);

export class LearnedRequestCosts implements RequestCostEstimator {
    private readonly outputs = new CostTable();
    private readonly runTimes = new CostTable();
    /** Run times as multiples of what the route's requests take on the whole service. */
    private readonly serverFactors = new CostTable();

    estimateOutput(query: StreamCostQuery): OutputEstimate {
        return new LimitedOutput(
            this.outputs.estimate(routeKeys(query), outputPrior(query), query.lengthHint),
            query.maximumOutputTokens ?? Infinity,
        );
    }

    recordOutput(query: StreamCostQuery, tokens: number): void {
        this.outputs.record(routeKeys(query), outputPrior(query), tokens, query.lengthHint);
    }

    estimateRunTime(origin: RequestOrigin, serverId: string): RunTimeEstimate {
        const run = this.runTimes.estimate(runTimeKeys(origin), runTimePrior);
        return new RunTime({
            logMean: run.logMean + Math.log(this.serverFactor(serverId)),
            logDeviation: run.logDeviation,
        });
    }

    /** An abandoned run counts only if it has already taken longer than expected: it says nothing else. */
    recordRunTime(run: PlainRun): void {
        const expected = this.estimateRunTime(run, run.serverId);
        if (!run.complete && run.milliseconds <= expected.meanMilliseconds) {
            return;
        }
        const keys = runTimeKeys(run);
        const factor = this.serverFactor(run.serverId);
        const usual = Math.exp(this.runTimes.estimate(keys, runTimePrior).logMean);
        // A short request may wait for a slot for longer than it runs, which says little about the server.
        const ofService = meanOf(this.runTimes.estimate([run.service], runTimePrior));
        const ratio = (run.milliseconds + ofService) / (usual + ofService);
        this.runTimes.record(keys, runTimePrior, run.milliseconds / factor);
        this.serverFactors.record([run.serverId], serverFactorPrior, ratio);
    }

    usualRunMilliseconds(service: string, serverId: string): number {
        return meanOf(this.runTimes.estimate([service], runTimePrior)) * this.serverFactor(serverId);
    }

    private serverFactor(serverId: string): number {
        const { logMean } = this.serverFactors.estimate([serverId], serverFactorPrior);
        return Math.abs(logMean) < distinctLogFactor ? 1 : Math.exp(logMean);
    }
}

class LimitedOutput implements OutputEstimate {
    readonly meanTokens: number;

    constructor(private readonly distribution: LogNormal, private readonly limit: number) {
        this.meanTokens = this.expectedAfter(0);
    }

    get upperTokens(): number {
        return Math.min(this.limit, upperQuantileOf(this.distribution));
    }

    expectedAfter(generatedTokens: number): number {
        return Math.min(this.limit, meanAbove(this.distribution, generatedTokens));
    }
}

class RunTime implements RunTimeEstimate {
    constructor(private readonly distribution: LogNormal) {}

    get meanMilliseconds(): number {
        return meanOf(this.distribution);
    }

    expectedAfter(elapsedMilliseconds: number): number {
        return meanAbove(this.distribution, elapsedMilliseconds);
    }
}

function outputPrior({ engine }: StreamCostQuery): CostPrior {
    return {
        mean: Math.max(1, engine.typicalOutputTokens),
        logDeviation: priorOutputLogDeviation,
        predictorLogDeviation: priorHintLogDeviation,
        memory: routeMemory,
    };
}

const separator = "\0";

/** Routes of a plain service differ in their work, but less than services do. */
function runTimeKeys(origin: RequestOrigin): string[] {
    return [origin.service, ...routeKeys(origin)];
}

/** From the general to the special. */
function routeKeys({ service, route, customer }: RequestOrigin): string[] {
    const general = service + separator + route;
    return customer === undefined ? [general] : [general, general + separator + customer];
}
