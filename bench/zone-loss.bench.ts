/**
 * Loss of all backend servers of one of four availability zones while the load is 0.7 of the fleet's capacity: half of
 * them close their connections, the connections of the other half go silent. All requests are idempotent.
 */
import { fakeClock } from "./fake-clock.js";
// The fake clock must be installed before any other module is loaded.
import { monotonicNow } from "../src/common/clock.js";
import { SilentLogger } from "../src/common/logger.js";
import { SilentMetrics } from "../src/common/metrics.js";
import { SeededRandom } from "../src/common/random.js";
import { RegistryReportingHealth } from "../src/daemon/registry-reporting-health.js";
import type { BackendServerConnection } from "../src/domain/backend-connection.js";
import type { Customer, Route } from "../src/domain/configuration.js";
import type { ChatMessage } from "../src/domain/engine-protocol.js";
import { estimatePromptTokens } from "../src/domain/prefix-blocks.js";
import type { Location } from "../src/domain/topology.js";
import { Outcome, PomelostallError } from "../src/errors/index.js";
import { OutlierEjection } from "../src/process/outlier-ejection/outlier-ejection.js";
import { TokenBucketRetryBudgets } from "../src/process/retry-budgets/token-bucket-retry-budgets.js";
import { AdaptiveTokenLimit } from "../src/request/admission/adaptive-token-limit.js";
import { FairAdmission } from "../src/request/admission/fair-admission.js";
import { PipelineAnswerService } from "../src/request/answer/pipeline-answer-service.js";
import type { AnswerRequest, AnswerService } from "../src/request/answer/types.js";
import { LeastInFlightPipelineChooser } from "../src/request/pipeline-choice/baseline-choosers.js";
import type { PipelineChooser } from "../src/request/pipeline-choice/types.js";
import { atMost, type Benchmark, type Figure, quantile } from "./figures.js";
import { EngineSimulation, type SimulatedRouter, type SimulatedServer } from "./support/engine-simulation.js";
import { createConfiguration, createModel, mixedClasses, mixedTopology, zones } from "./support/synthetic-fleet.js";

const loadFactor = 0.7;
const attemptsPerRequestBound = 1.1;
const firstTokenTargetMilliseconds = 1_600;
const betweenTokensTargetMilliseconds = 78;
const targetQuantile = 0.95;

const answerTokens = 48;
const promptCharacters = 500;
const timeoutMilliseconds = 20_000;
const settleMilliseconds = 2_000;
const warmUpMilliseconds = 6_000;
const afterLossMilliseconds = 12_000;
const windowMilliseconds = 1_000;
const tickMilliseconds = 5;
const layerTotal = 24;
const initialTokenLimit = 20_000;
const lostZone = zones[1]!;

const model = createModel(0, layerTotal);
const classes = mixedClasses.slice(1);

/** In each zone, a pipeline of two stages on each class of backend server. */
const servers: readonly SimulatedServer[] = zones.flatMap(location =>
    classes.flatMap(serverClass =>
        [0, layerTotal / 2].map(first => ({
            id: `${location.availabilityZone}-${serverClass.name}-${first}`,
            location,
            class: serverClass,
            layers: { first, last: first + layerTotal / 2 - 1 },
        }))
    )
);
const boundTokensPerSecond = servers.reduce((sum, server) => sum + server.class.layerTokensPerSecond, 0) / layerTotal;

const route: Route = {
    name: "route",
    model: model.name,
    priority: 1,
    defaultTimeoutMilliseconds: timeoutMilliseconds,
    retryShare: 0.1,
    customers: [],
};
const customer: Customer = { name: "customer", keyHashes: [], weight: 1, tokensPerSecond: 1e9, burstTokens: 1e9 };

/** The arrival of a request, the times of its first and last tokens, and its outcome. */
interface RequestSample {
    readonly arrivedAt: number;
    firstTokenAt?: number;
    lastTokenAt?: number;
    outcome?: Outcome | "answered";
}

interface RunResult {
    readonly samples: readonly RequestSample[];
    readonly attempts: number;
    readonly lostAt: number;
}

/** Counts the attempts that a router starts. */
class AttemptCountingConnections {
    attempts = 0;

    constructor(private readonly router: SimulatedRouter) {}

    get(id: string): BackendServerConnection {
        const connection = this.router.connections.get(id);
        const startAttempt: BackendServerConnection["startAttempt"] = (request, options) => {
            this.attempts++;
            return connection.startAttempt(request, options);
        };
        return new Proxy(connection, {
            get: (target, key) => key === "startAttempt" ? startAttempt : Reflect.get(target, key, target) as unknown,
        });
    }
}

/** A router with admission and the answer service. */
class ServingRouter {
    readonly connections: AttemptCountingConnections;
    private readonly admission: FairAdmission;
    private readonly answers: AnswerService;

    constructor(private readonly simulation: EngineSimulation, router: SimulatedRouter, chooser: PipelineChooser) {
        const logger = new SilentLogger();
        const metrics = new SilentMetrics();
        const tokenLimit = new AdaptiveTokenLimit(initialTokenLimit, metrics);
        this.connections = new AttemptCountingConnections(router);
        this.admission = new FairAdmission({
            limits: { tryTake: () => ({ allowed: true, retryAfterSeconds: 0 }), correct: () => undefined },
            tokenLimit,
            logger,
            metrics,
        });
        const pool = servers.map(server => server.id);
        const ejection = new OutlierEjection(
            { poolOf: () => pool },
            id => router.registry.reportDraining(id),
            logger,
            metrics,
        );
        this.answers = new PipelineAnswerService({
            chooser,
            connections: this.connections,
            inFlightCounter: router.inFlightCounter,
            health: new RegistryReportingHealth(ejection, router.registry),
            retryBudgets: new TokenBucketRetryBudgets(),
            capacity: tokenLimit,
            random: router.random,
            logger,
            metrics,
        });
    }

    async serve(index: number, sample: RequestSample): Promise<void> {
        const messages = promptOf(index);
        const tokens = estimatePromptTokens(messages) + answerTokens;
        const deadline = monotonicNow() + timeoutMilliseconds;
        try {
            const ticket = await this.admission.admit({
                requestId: `request-${index}`,
                customer,
                route,
                tokens,
                deadline,
            });
            try {
                await this.answer(index, messages, deadline, sample);
            }
            finally {
                ticket.release(tokens);
            }
            sample.outcome = "answered";
        }
        catch (error) {
            sample.outcome = error instanceof PomelostallError ? error.outcome ?? Outcome.failed : Outcome.failed;
        }
    }

    private answer(
        index: number,
        messages: readonly ChatMessage[],
        deadline: number,
        sample: RequestSample,
    ): Promise<void> {
        const request: AnswerRequest = {
            requestId: `request-${index}`,
            configuration: this.simulation.configuration,
            route,
            model,
            messages,
            maximumTokens: answerTokens,
            deadline,
            callerGone: new AbortController().signal,
        };
        return this.answers.start(request).events.forEach(event => {
            if (event.type === "token") {
                sample.firstTokenAt ??= monotonicNow();
                sample.lastTokenAt = monotonicNow();
            }
        });
    }
}

function promptOf(index: number): readonly ChatMessage[] {
    const content = `${index} tokens=${answerTokens} `.padEnd(promptCharacters, "weigh the bales ");
    return [{ role: "user", content }];
}

function failZone(simulation: EngineSimulation): void {
    [...simulation.engines.values()].filter(engine => engine.location === lostZone).forEach((engine, index) => {
        if (index % 2 === 0) {
            simulation.freezeConnections(engine.id);
        }
        engine.die();
    });
}

async function simulate(createChooser: (router: SimulatedRouter) => PipelineChooser): Promise<RunResult> {
    const configuration = createConfiguration([model], mixedTopology);
    const latency = (from: Location, to: Location) => mixedTopology.link(from, to).latencyMilliseconds;
    const simulation = new EngineSimulation(
        configuration,
        model,
        mixedTopology,
        latency,
        servers,
    );
    const routers: ServingRouter[] = [];
    for (const [index, location] of zones.entries()) {
        const router = await simulation.addRouter(`router-${index}`, location, index + 1);
        routers.push(new ServingRouter(simulation, router, createChooser(router)));
    }
    await fakeClock.tickAsync(settleMilliseconds);
    const random = new SeededRandom(9);
    const requestTokens = estimatePromptTokens(promptOf(0)) + answerTokens;
    const meanArrivalGapMilliseconds = (requestTokens * 1000) / (boundTokensPerSecond * loadFactor);
    const samples: RequestSample[] = [];
    const pendingRequests: Promise<void>[] = [];
    let nextArrival = 0;
    let lostAt = 0;
    for (let now = 0; now < warmUpMilliseconds + afterLossMilliseconds; now += tickMilliseconds) {
        if (now === warmUpMilliseconds) {
            lostAt = monotonicNow();
            failZone(simulation);
        }
        for (; nextArrival <= now; nextArrival -= Math.log(1 - random.next()) * meanArrivalGapMilliseconds) {
            const sample: RequestSample = { arrivedAt: monotonicNow() };
            pendingRequests.push(routers[samples.length % routers.length]!.serve(samples.length, sample));
            samples.push(sample);
        }
        await fakeClock.tickAsync(tickMilliseconds);
    }
    await fakeClock.tickAsync(timeoutMilliseconds);
    await Promise.all(pendingRequests);
    const attempts = routers.reduce((sum, router) => sum + router.connections.attempts, 0);
    await simulation.stop();
    fakeClock.reset();
    return { samples, attempts, lostAt };
}

/** Whether the 95th percentiles of the time to first token and of the time between tokens meet their targets. */
function meetsTarget(samples: readonly RequestSample[]): boolean {
    const answered = samples.filter(sample => sample.outcome === "answered");
    const firstTokens = answered.map(sample => sample.firstTokenAt! - sample.arrivedAt);
    const gaps = answered.map(sample => (sample.lastTokenAt! - sample.firstTokenAt!) / (answerTokens - 1));
    return answered.length > 0 && quantile(firstTokens, targetQuantile) <= firstTokenTargetMilliseconds
        && quantile(gaps, targetQuantile) <= betweenTokensTargetMilliseconds;
}

/**
 * Milliseconds from the loss to the end of the last window that missed a target; a request belongs to the window in
 * which it arrived.
 */
function recoveryMilliseconds({ samples, lostAt }: RunResult): number {
    let recovered = 0;
    const totalMilliseconds = warmUpMilliseconds + afterLossMilliseconds;
    for (let start = -warmUpMilliseconds / 2; start < totalMilliseconds; start += windowMilliseconds) {
        const inWindow = samples.filter(({ arrivedAt }) =>
            arrivedAt >= lostAt + start && arrivedAt < lostAt + start + windowMilliseconds
        );
        if (inWindow.length > 0 && !meetsTarget(inWindow)) {
            recovered = start + windowMilliseconds;
        }
    }
    return recovered;
}

function countOutcome({ samples }: RunResult, outcome: RequestSample["outcome"]): number {
    return samples.filter(sample => sample.outcome === outcome).length;
}

/** Attempts per request; requests with the outcome `not-run` are left out of the number of requests. */
function attemptsPerRequest(result: RunResult): number {
    return result.attempts / (result.samples.length - countOutcome(result, Outcome.notRun));
}

async function run(): Promise<readonly Figure[]> {
    const baseline = await simulate(({ graphs, registry }) => new LeastInFlightPipelineChooser(graphs, registry));
    const result = await simulate(({ chooser }) => chooser);
    const bench = "zone-loss";
    const share = (of: RunResult, outcome: RequestSample["outcome"]) => countOutcome(of, outcome) / of.samples.length;
    return [
        {
            bench,
            figure: "requests with unknown outcome",
            value: countOutcome(result, Outcome.unknown),
            unit: "requests",
            bound: atMost(0),
            baseline: countOutcome(baseline, Outcome.unknown),
        },
        {
            bench,
            figure: "attempts for each request",
            value: attemptsPerRequest(result),
            unit: "attempts",
            bound: atMost(attemptsPerRequestBound),
            baseline: attemptsPerRequest(baseline),
        },
        {
            bench,
            figure: "time until p95 is back under its target",
            value: recoveryMilliseconds(result),
            unit: "ms",
            baseline: recoveryMilliseconds(baseline),
        },
        {
            bench,
            figure: "requests answered",
            value: share(result, "answered"),
            unit: "of all",
            baseline: share(baseline, "answered"),
        },
        {
            bench,
            figure: "requests refused before they ran",
            value: share(result, Outcome.notRun),
            unit: "of all",
            baseline: share(baseline, Outcome.notRun),
        },
        {
            bench,
            figure: "requests that failed",
            value: share(result, Outcome.failed),
            unit: "of all",
            baseline: share(baseline, Outcome.failed),
        },
    ];
}

export const benchmark: Benchmark = { name: "zone-loss", run };
