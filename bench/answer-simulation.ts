/**
 * Simulates answers on a fake clock: the production answer service, pipeline chooser and outlier ejection run against
 * in-process stand-in engines, and simulated callers verify the answers. Used by benchmarks and by invariant tests of
 * recovery.
 */
import { monotonicNow } from "../src/common/clock.js";
import { SilentLogger } from "../src/common/logger.js";
import { SilentMetrics } from "../src/common/metrics.js";
import { SeededRandom } from "../src/common/random.js";
import type { BackendServerClass } from "../src/domain/backend-server.js";
import type { Configuration, Route } from "../src/domain/configuration.js";
import type { ChatMessage } from "../src/domain/engine-protocol.js";
import { layerCount } from "../src/domain/layers.js";
import type { ModelDescription } from "../src/domain/model.js";
import { estimatePromptTokens } from "../src/domain/prefix-blocks.js";
import type { Topology } from "../src/domain/topology.js";
import type { PomelostallError } from "../src/errors/index.js";
import { BackendServerRecord } from "../src/process/backend-servers/backend-server-record.js";
import { ExactInFlightCounter } from "../src/process/backend-servers/exact-in-flight-counter.js";
import { PrefixIndex } from "../src/process/backend-servers/prefix-index.js";
import { OutlierEjection } from "../src/process/outlier-ejection/outlier-ejection.js";
import { TokenBucketRetryBudgets } from "../src/process/retry-budgets/token-bucket-retry-budgets.js";
import type { CapacitySignals } from "../src/request/admission/adaptive-token-limit.js";
import type { RecoveryStrategy } from "../src/request/answer/dependencies.js";
import { PipelineAnswerService } from "../src/request/answer/pipeline-answer-service.js";
import type { Answer, AnswerEnd } from "../src/request/answer/types.js";
import { CostPipelineChooser } from "../src/request/pipeline-choice/cost-pipeline-chooser.js";
import {
    expectedAnswer,
    InProcessBackendServerConnection,
    InProcessStageNetwork,
    StandInEngine,
    WeightStore,
} from "../src/stand-ins/backend-server/index.js";
import { PipelineGraphs } from "../src/version/pipeline-graph/pipeline-graphs.js";

export const layerTotal = 24;

export const model: ModelDescription = {
    name: "model",
    version: "1",
    layerTotal,
    layerBytes: 100_000_000,
    activationBytes: 16_384,
    cacheBytesPerTokenLayer: 4_096,
    adapters: [],
    maximumTokens: 4_096,
};

export const route: Route = {
    name: "model",
    model: "model",
    priority: 0,
    defaultTimeoutMilliseconds: 60_000,
    retryShare: 0.1,
    customers: [],
};

const topology: Topology = {
    link: (from, to) => ({
        latencyMilliseconds: from.availabilityZone === to.availabilityZone ? 0.1 : 0.6,
        bytesPerSecond: 1_250_000_000,
    }),
};

/** Latency between the router and a backend server. */
const connectionLatencyMilliseconds = 0.3;

export interface AnswerSimulationOptions {
    readonly seed: number;
    readonly availabilityZones: number;
    /** Backend servers per availability zone for each of the two halves of the model's layers. */
    readonly serversForEachHalf: number;
    readonly layerTokensPerSecond: number;
    readonly recovery?: RecoveryStrategy;
    readonly capacity?: CapacitySignals;
}

/** A caller that records and verifies the answer that it receives. */
export class SimulatedCaller {
    text = "";
    tokenCount = 0;
    startedAt = monotonicNow();
    firstTokenAt: number | undefined;
    readonly tokenTimes: number[] = [];
    outOfOrder = false;
    private readonly connection = new AbortController();
    end: AnswerEnd | undefined;
    error: PomelostallError | undefined;
    answer: Answer | undefined;
    done: Promise<void> | undefined;

    constructor(
        readonly requestId: string,
        readonly messages: readonly ChatMessage[],
        readonly maximumTokens: number,
    ) {}

    disconnect(): void {
        this.connection.abort();
    }

    start(service: PipelineAnswerService, configuration: Configuration, timeoutMilliseconds: number): void {
        const { requestId, messages, maximumTokens } = this;
        const deadline = monotonicNow() + timeoutMilliseconds;
        const answer = service.start({
            requestId,
            configuration,
            route,
            model,
            messages,
            maximumTokens,
            deadline,
            callerGone: this.connection.signal,
        });
        this.answer = answer;
        this.done = new Promise(resolve => {
            answer.events.subscribe({
                next: event => {
                    if (event.type === "end") {
                        this.end = event;
                        return;
                    }
                    this.outOfOrder ||= event.position !== this.tokenCount;
                    this.tokenCount++;
                    this.text += event.text;
                    this.firstTokenAt ??= monotonicNow();
                    this.tokenTimes.push(monotonicNow());
                },
                error: error => {
                    this.error = error as PomelostallError;
                    resolve();
                },
                complete: () => resolve(),
            });
        });
    }

    /**
     * Whether the tokens came in order and their text is the complete expected answer or, if the answer hasn't ended, a
     * prefix of it.
     */
    get intact(): boolean {
        const expected = expectedAnswer(this.messages, this.maximumTokens);
        if (this.outOfOrder || !expected.text.startsWith(this.text)) {
            return false;
        }
        return this.end === undefined || (this.text === expected.text && this.end.completionTokens === this.tokenCount);
    }
}

export class AnswerSimulation {
    readonly engines = new Map<string, StandInEngine>();
    readonly connectionsByServer = new Map<string, InProcessBackendServerConnection>();
    readonly network = new InProcessStageNetwork(topology);
    readonly service: PipelineAnswerService;
    readonly configuration = {
        version: 1,
        models: new Map([[model.name, model]]),
        topology,
    } as Partial<Configuration> as Configuration;
    private readonly records = new Map<string, BackendServerRecord>();
    private readonly backendServerClass: BackendServerClass;

    constructor(private readonly options: AnswerSimulationOptions) {
        this.backendServerClass = {
            name: "class",
            acceleratorKind: "kind",
            acceleratorCount: 8,
            memoryBytes: 1e12,
            layerTokensPerSecond: options.layerTokensPerSecond,
            honoursFencing: true,
            checksOrders: false,
        };
        const weightStore = new WeightStore(1e9);
        for (let zone = 0; zone < options.availabilityZones; zone++) {
            for (let index = 0; index < options.serversForEachHalf; index++) {
                this.addEngine(`z${zone}-head-${index}`, zone, 0, layerTotal / 2 - 1, weightStore);
                this.addEngine(`z${zone}-tail-${index}`, zone, layerTotal / 2, layerTotal - 1, weightStore);
            }
        }
        this.service = this.createService();
    }

    /** The engines of the latest attempt of a request, in the order of its stages; empty if there was no attempt. */
    enginesOf(requestId: string): StandInEngine[] {
        const attempts = [...this.engines.values()]
            .flatMap(engine => engine.record.attempts)
            .filter(attempt => attempt.request.requestId === requestId)
            .sort((left, right) => right.receivedAt - left.receivedAt);
        return (attempts[0]?.request.stages ?? []).map(stage => this.engines.get(stage.backendServer)!);
    }

    startCaller(
        requestId: string,
        promptCharacters: number,
        tokens: number,
        timeoutMilliseconds = 60_000,
    ): SimulatedCaller {
        const content = `tokens=${tokens} ${requestId} `.padEnd(promptCharacters, `${requestId} load of paper, `);
        const caller = new SimulatedCaller(requestId, [{ role: "user", content }], model.maximumTokens);
        caller.start(this.service, this.configuration, timeoutMilliseconds);
        return caller;
    }

    /**
     * Tokens that were computed again because of failed attempts: the layer tokens computed for the request, divided by
     * the number of layers, minus the tokens that a single successful attempt needs.
     */
    recomputedTokens(caller: SimulatedCaller): number {
        let layerTokens = 0;
        for (const engine of this.engines.values()) {
            for (const run of engine.record.runs) {
                layerTokens += run.requestId === caller.requestId ? run.tokens * layerCount(run.layers) : 0;
            }
        }
        const needed = estimatePromptTokens(caller.messages) + Math.max(0, caller.tokenCount - 1);
        return Math.max(0, layerTokens / layerTotal - needed);
    }

    /** Stages of running attempts, summed over the backend servers; 0 when no attempt is in flight. */
    get stagesInFlight(): number {
        return [...this.records.values()].reduce((total, record) => total + record.ownAttempts, 0);
    }

    stop(): void {
        this.engines.forEach(engine => engine.stop());
        this.connectionsByServer.forEach(connection => connection.close());
    }

    private addEngine(id: string, zone: number, first: number, last: number, weightStore: WeightStore): void {
        const location = { region: "region", availabilityZone: `z${zone}` };
        const address = `http://${id}`;
        const holdings = [{ model: model.name, modelVersion: model.version, layers: { first, last }, adapters: [] }];
        const engine = new StandInEngine(
            { id, address, location, class: this.backendServerClass, holdings },
            { network: this.network, weightStore, random: new SeededRandom(this.options.seed + this.engines.size) },
        );
        const connection = new InProcessBackendServerConnection(engine, {
            latencyMilliseconds: connectionLatencyMilliseconds,
        });
        const record = new BackendServerRecord({
            id,
            address,
            ...location,
            class: this.backendServerClass,
            incarnation: 1,
        });
        record.holdings = holdings;
        connection.events.subscribe({
            next: event => {
                if (event.type === "load") {
                    record.setLoad(event.load, monotonicNow());
                }
                else if (event.type === "draining") {
                    record.markLeaving();
                }
            },
            error: () => undefined,
            complete: () => undefined,
        });
        this.network.add(engine);
        engine.start();
        this.engines.set(id, engine);
        this.connectionsByServer.set(id, connection);
        this.records.set(id, record);
    }

    private createService(): PipelineAnswerService {
        const { records, options } = this;
        const servers = {
            revision: 1,
            totalLayerTokensPerSecond: records.size * options.layerTokensPerSecond,
            candidates: () => [...records.values()],
            get: (id: string) => records.get(id),
            prefixes: new PrefixIndex(),
        };
        const logger = new SilentLogger();
        const metrics = new SilentMetrics();
        const random = new SeededRandom(options.seed);
        const poolOf = (id: string) => [...records.keys()].filter(other => other.split("-")[1] === id.split("-")[1]);
        return new PipelineAnswerService({
            chooser: new CostPipelineChooser({
                location: { region: "region", availabilityZone: "z0" },
                graphs: new PipelineGraphs(this.configuration, servers),
                servers,
                random,
                logger,
            }),
            connections: { get: id => this.connectionsByServer.get(id)! },
            inFlightCounter: new ExactInFlightCounter(id => records.get(id)),
            health: new OutlierEjection({ poolOf }, id => void records.get(id)?.markLeaving(), logger, metrics),
            retryBudgets: new TokenBucketRetryBudgets(),
            recoveryStrategy: options.recovery,
            capacity: options.capacity,
            random,
            logger,
            metrics,
        });
    }
}
