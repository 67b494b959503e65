/**
 * A stand-in for a model engine, independent of the transport. It uses the runtime's timers, so that tests and
 * benchmarks can run it in process on a fake clock. Its methods and public fields inject faults.
 */
import { monotonicNow } from "../../common/clock.js";
import type { RandomSource } from "../../common/random.js";
import { Broadcast } from "../../common/streams.js";
import { type Holding, type LoadReport, ServingRole } from "../../domain/backend-server.js";
import type {
    AttemptRequest,
    BackendServerEvent,
    FailureFrame,
    HoldingsReport,
    OrderReply,
    PlacementOrder,
} from "../../domain/engine-protocol.js";
import { layerCount } from "../../domain/layers.js";
import type { Location } from "../../domain/topology.js";
import { AttemptCache } from "./attempt-cache.js";
import * as defaults from "./constants.js";
import { ContinuousBatcher } from "./continuous-batcher.js";
import { EngineHoldings } from "./engine-holdings.js";
import { FaultySink } from "./faulty-sink.js";
import { HeadAttempt } from "./head-attempt.js";
import { PrefixCache } from "./prefix-cache.js";
import { EngineRecord } from "./record.js";
import { stageOverlaps, StageRunner } from "./stage-runner.js";
import type {
    EngineAttempt,
    FrameFaultRule,
    FrameSink,
    PrepareRequest,
    StageEndpoint,
    StageMessage,
    StageNetwork,
    StageReply,
    StageRequest,
    StandInEngineOptions,
} from "./types.js";
import type { WeightStore } from "./weight-store.js";

/** Dependencies that the engines of a fleet share. */
export interface StandInEngineDependencies {
    readonly network: StageNetwork;
    readonly weightStore: WeightStore;
    readonly random: RandomSource;
}

export class StandInEngine implements StageEndpoint {
    readonly id: string;
    readonly location: Location;
    readonly record = new EngineRecord();
    /** Faults that are injected into single frames sent to the router. */
    frameFaults: FrameFaultRule | undefined;
    draining = false;
    private terminated = false;
    private readonly attempts = new Map<string, HeadAttempt>();
    private readonly batcher: ContinuousBatcher;
    private readonly prefixCache: PrefixCache;
    private readonly attemptCache: AttemptCache;
    private readonly stages: StageRunner;
    private readonly engineHoldings: EngineHoldings;
    private readonly broadcast = new Broadcast<BackendServerEvent>();
    private readonly heartbeatMilliseconds: number;
    private readonly timers: ReturnType<typeof setInterval>[] = [];

    constructor(readonly options: StandInEngineOptions, private readonly dependencies: StandInEngineDependencies) {
        this.id = options.id;
        this.location = options.location;
        this.heartbeatMilliseconds = options.heartbeatMilliseconds ?? defaults.defaultHeartbeatMilliseconds;
        this.batcher = new ContinuousBatcher(options.class.layerTokensPerSecond);
        this.prefixCache = this.createPrefixCache();
        const cacheBytesPerTokenLayer = options.cacheBytesPerTokenLayer ?? defaults.defaultCacheBytesPerTokenLayer;
        this.attemptCache = new AttemptCache(
            options.cacheRetentionMilliseconds ?? defaults.defaultCacheRetentionMilliseconds,
            cacheBytesPerTokenLayer,
        );
        this.stages = new StageRunner({
            endpoint: this,
            network: dependencies.network,
            batcher: this.batcher,
            prefixCache: this.prefixCache,
            attemptCache: this.attemptCache,
            record: this.record,
            activationBytes: options.activationBytes ?? defaults.defaultActivationBytes,
            cacheBytesPerTokenLayer,
        });
        this.engineHoldings = this.createEngineHoldings();
    }

    get address(): string {
        return this.options.address;
    }

    get alive(): boolean {
        return !this.terminated;
    }

    /** Stream of load reports, cache events, and changes of draining and holdings. */
    get events(): Broadcast<BackendServerEvent>["stream"] {
        return this.broadcast.stream;
    }

    /** Starts the timers of heartbeats, attempt timeouts and load reports. */
    start(): void {
        const reportMilliseconds = this.options.loadReportMilliseconds ?? defaults.defaultLoadReportMilliseconds;
        this.timers.push(
            setInterval(() => this.checkAttempts(), this.heartbeatMilliseconds / 2),
            setInterval(() => this.reportLoad(), reportMilliseconds),
        );
    }

    /** Stops all timers, breaks the connections of running attempts and closes the event stream. */
    stop(): void {
        this.die();
        this.broadcast.close();
    }

    startAttempt(request: AttemptRequest, sink: FrameSink): EngineAttempt {
        this.record.addAttempt({ request, receivedAt: monotonicNow() });
        const faultySink = new FaultySink(sink, () => this.frameFaults);
        const attempt = new HeadAttempt(request, faultySink, {
            endpoint: this,
            network: this.dependencies.network,
            runFirstStage: message => this.stages.run(message),
            prepareFirstStage: (started, expectedTokens) => this.prepareFirstStage(started, expectedTokens),
            onEnded: ended => this.release(ended),
            stageTimeoutMilliseconds: this.options.stageTimeoutMilliseconds ?? defaults.defaultStageTimeoutMilliseconds,
        });
        const refusalReason = this.findRefusalReason(request);
        if (refusalReason !== undefined) {
            attempt.fail(refusalReason, this.id);
            return attempt;
        }
        this.attempts.set(request.attemptId, attempt);
        void attempt.start();
        return attempt;
    }

    cancelAttempt(attemptId: string): void {
        this.attempts.get(attemptId)?.cancel();
    }

    order(order: PlacementOrder, credential?: string): Promise<OrderReply> {
        return this.engineHoldings.order(order, credential);
    }

    holdingsReport(): HoldingsReport {
        return {
            holdings: this.engineHoldings.holdings,
            role: this.engineHoldings.role,
            draining: this.draining,
            fencingNumber: this.engineHoldings.fencingNumber,
            completedOrders: this.record.completedOrders.map(order => order.orderId),
        };
    }

    /** Events that describe the current state; a new subscriber receives them first. */
    currentStateEvents(): BackendServerEvent[] {
        const events: BackendServerEvent[] = [
            { type: "holdings", holdings: this.engineHoldings.holdings, role: this.engineHoldings.role },
            { type: "load", load: this.measureLoad() },
        ];
        return this.draining ? [...events, { type: "draining" }] : events;
    }

    receive(message: StageMessage): void {
        if (this.terminated) {
            return;
        }
        switch (message.kind) {
            case "activations":
                this.stages.run(message);
                break;
            case "sampled":
                this.attempts.get(message.attemptId)?.handleSampled(message.position, message.ran);
                break;
            case "stage-failed":
                this.attempts.get(message.attemptId)?.handleStageFailed(message.backendServer);
                break;
            case "release":
                this.stages.release(message.attemptId);
                break;
        }
    }

    async answer(request: StageRequest): Promise<StageReply> {
        switch (request.kind) {
            case "ping":
                return { cachedTokens: 0, bytes: 0 };
            case "prepare":
                return this.prepareStage(request);
            case "export-cache": {
                const tokens = this.attemptCache.tokens(request.attemptId, request.layers);
                const bytes = tokens * layerCount(request.layers) * this.cacheBytesPerTokenLayer;
                return { cachedTokens: tokens, bytes };
            }
        }
    }

    /** Refuses new attempts; running ones continue. */
    drain(): void {
        this.draining = true;
        this.broadcast.publish({ type: "draining" });
    }

    /** Stops or resumes computing; heartbeats continue. */
    setStalled(stalled: boolean): void {
        this.batcher.setStalled(stalled);
    }

    /** Emulates a crash of the process: breaks the connections of running attempts and discards all caches. */
    die(): void {
        this.terminated = true;
        for (const timer of this.timers.splice(0)) {
            clearInterval(timer);
        }
        for (const attempt of this.attempts.values()) {
            attempt.breakConnection();
        }
        this.attempts.clear();
        this.stages.clear();
        this.batcher.clear();
        this.prefixCache.clear();
        this.attemptCache.clear();
    }

    private get cacheBytesPerTokenLayer(): number {
        return this.options.cacheBytesPerTokenLayer ?? defaults.defaultCacheBytesPerTokenLayer;
    }

    private createPrefixCache(): PrefixCache {
        return new PrefixCache(
            {
                maximumBlocks: this.options.prefixCacheBlocks ?? defaults.defaultPrefixCacheBlocks,
                delayMilliseconds: this.options.cacheEventDelayMilliseconds
                    ?? defaults.defaultCacheEventDelayMilliseconds,
                lossShare: this.options.cacheEventLossShare ?? defaults.defaultCacheEventLossShare,
            },
            this.dependencies.random,
            event => this.broadcast.publish(event),
        );
    }

    private createEngineHoldings(): EngineHoldings {
        return new EngineHoldings(
            {
                class: this.options.class,
                holdings: this.options.holdings,
                role: this.options.role ?? ServingRole.mixed,
                layerBytes: this.options.layerBytes ?? defaults.defaultLayerBytes,
                orderCredential: this.options.orderCredential,
            },
            this.dependencies.weightStore,
            this.record,
            holding => this.usesHolding(holding),
            () =>
                this.broadcast.publish({
                    type: "holdings",
                    holdings: this.engineHoldings.holdings,
                    role: this.engineHoldings.role,
                }),
        );
    }

    private usesHolding(holding: Holding): boolean {
        return this.stages.usesLayers(
            holding.model,
            holding.modelVersion,
            stage => stageOverlaps(stage, holding.layers),
        );
    }

    private findRefusalReason(request: AttemptRequest): FailureFrame["reason"] | undefined {
        if (this.draining) {
            return "draining";
        }
        if (this.attempts.size >= (this.options.maximumAttempts ?? defaults.defaultMaximumAttempts)) {
            return "overloaded";
        }
        return this.engineHoldings.holds({ ...request, layers: request.stages[0]!.layers }) ? undefined : "not-held";
    }

    private prepareFirstStage(attempt: AttemptRequest, expectedTokens: number): Promise<StageReply> {
        return this.stages.prepare({
            kind: "prepare",
            attempt,
            stageIndex: 0,
            headAddress: this.address,
            expectedTokens,
        });
    }

    private async prepareStage(request: PrepareRequest): Promise<StageReply> {
        if (this.draining) {
            return { refusal: "draining", cachedTokens: 0, bytes: 0 };
        }
        const { attempt, stageIndex } = request;
        if (!this.engineHoldings.holds({ ...attempt, layers: attempt.stages[stageIndex]!.layers })) {
            return { refusal: "not-held", cachedTokens: 0, bytes: 0 };
        }
        return this.stages.prepare(request);
    }

    private release(attempt: HeadAttempt): void {
        const { attemptId, stages } = attempt.request;
        this.attempts.delete(attemptId);
        this.stages.release(attemptId);
        for (const address of new Set(stages.slice(1).map(stage => stage.address))) {
            this.dependencies.network.send(this, address, { kind: "release", attemptId }, () => undefined);
        }
    }

    private checkAttempts(): void {
        const now = monotonicNow();
        for (const attempt of [...this.attempts.values()]) {
            attempt.checkTimers(now, this.heartbeatMilliseconds);
        }
        this.attemptCache.removeExpired();
    }

    private measureLoad(): LoadReport {
        const capacity = this.options.cacheBytes ?? defaults.defaultCacheBytes;
        return {
            runningAttempts: this.stages.attemptCount,
            queuedAttempts: this.batcher.lastStepQueuedJobs,
            pendingTokens: this.stages.remainingTokens + this.batcher.pendingTokens,
            stepMilliseconds: this.batcher.lastStepMilliseconds,
            freeCacheBytes: Math.max(0, capacity - this.attemptCache.bytes),
        };
    }

    private reportLoad(): void {
        const load = this.measureLoad();
        const reportDelay = this.options.loadReportLagMilliseconds ?? defaults.defaultLoadReportLagMilliseconds;
        setTimeout(() => {
            if (!this.terminated) {
                this.broadcast.publish({ type: "load", load });
            }
        }, reportDelay);
    }
}
