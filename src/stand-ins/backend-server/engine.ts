/**
 * A stand-in for a model engine, independent of transport. It runs on the runtime's timers, so that tests and
 * benchmarks with a paused clock use it in process. Faults are switched on by its methods and public fields.
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
import { StageRunner, stageUses } from "./stage-runner.js";
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

/** What an engine shares with others. */
export interface StandInEngineParts {
    readonly network: StageNetwork;
    readonly weightStore: WeightStore;
    readonly random: RandomSource;
}

export class StandInEngine implements StageEndpoint {
    readonly id: string;
    readonly location: Location;
    readonly record = new EngineRecord();
    /** Faults of single frames, on their way to the router. */
    frameFaults: FrameFaultRule | undefined;
    draining = false;
    private died = false;
    private readonly attempts = new Map<string, HeadAttempt>();
    private readonly batcher: ContinuousBatcher;
    private readonly prefixCache: PrefixCache;
    private readonly attemptCache: AttemptCache;
    private readonly stages: StageRunner;
    private readonly holder: EngineHoldings;
    private readonly broadcast = new Broadcast<BackendServerEvent>();
    private readonly heartbeatMilliseconds: number;
    private readonly timers: ReturnType<typeof setInterval>[] = [];

    constructor(readonly options: StandInEngineOptions, private readonly parts: StandInEngineParts) {
        this.id = options.id;
        this.location = options.location;
        this.heartbeatMilliseconds = options.heartbeatMilliseconds ?? defaults.defaultHeartbeatMilliseconds;
        this.batcher = new ContinuousBatcher(options.class.layerTokensPerSecond);
        this.prefixCache = this.createPrefixCache();
        const cacheBytesPerTokenLayer = options.cacheBytesPerTokenLayer ?? defaults.defaultCacheBytesPerTokenLayer;
        this.attemptCache = new AttemptCache(
            options.cacheKeepMilliseconds ?? defaults.defaultCacheKeepMilliseconds,
            cacheBytesPerTokenLayer,
        );
        this.stages = new StageRunner({
            endpoint: this,
            network: parts.network,
            batcher: this.batcher,
            prefixCache: this.prefixCache,
            attemptCache: this.attemptCache,
            record: this.record,
            activationBytes: options.activationBytes ?? defaults.defaultActivationBytes,
            cacheBytesPerTokenLayer,
        });
        this.holder = this.createHolder();
    }

    get address(): string {
        return this.options.address;
    }

    get alive(): boolean {
        return !this.died;
    }

    /** Load, cache events, draining and holdings, as they happen. */
    get events(): Broadcast<BackendServerEvent>["stream"] {
        return this.broadcast.stream;
    }

    /** Starts heartbeats and load reports. */
    start(): void {
        const reportMilliseconds = this.options.loadReportMilliseconds ?? defaults.defaultLoadReportMilliseconds;
        this.timers.push(
            setInterval(() => this.check(), this.heartbeatMilliseconds / 2),
            setInterval(() => this.reportLoad(), reportMilliseconds),
        );
    }

    /** Stops all timers and breaks what runs. */
    stop(): void {
        this.die();
        this.broadcast.close();
    }

    startAttempt(request: AttemptRequest, sink: FrameSink): EngineAttempt {
        this.record.addAttempt({ request, at: monotonicNow() });
        const faultySink = new FaultySink(sink, () => this.frameFaults);
        const attempt = new HeadAttempt(request, faultySink, {
            endpoint: this,
            network: this.parts.network,
            runFirstStage: message => this.stages.run(message),
            prepareFirstStage: (started, expectedTokens) => this.prepareFirstStage(started, expectedTokens),
            ended: ended => this.release(ended),
            stageTimeoutMilliseconds: this.options.stageTimeoutMilliseconds ?? defaults.defaultStageTimeoutMilliseconds,
        });
        const refusal = this.refusal(request);
        if (refusal !== undefined) {
            attempt.fail(refusal, this.id);
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
        return this.holder.order(order, credential);
    }

    holdingsReport(): HoldingsReport {
        return {
            holdings: this.holder.holdings,
            role: this.holder.role,
            draining: this.draining,
            fencingNumber: this.holder.fencingNumber,
            completedOrders: this.record.completedOrders.map(order => order.orderId),
        };
    }

    /** The events that a new listener gets first. */
    presentEvents(): BackendServerEvent[] {
        const present: BackendServerEvent[] = [
            { type: "holdings", holdings: this.holder.holdings, role: this.holder.role },
            { type: "load", load: this.measureLoad() },
        ];
        return this.draining ? [...present, { type: "draining" }] : present;
    }

    receive(message: StageMessage): void {
        if (this.died) {
            return;
        }
        switch (message.kind) {
            case "activations":
                this.stages.run(message);
                break;
            case "sampled":
                this.attempts.get(message.attemptId)?.sampled(message.position, message.ran);
                break;
            case "stage-failed":
                this.attempts.get(message.attemptId)?.stageFailed(message.backendServer);
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

    /** Takes no new attempts; those that run go on. */
    drain(): void {
        this.draining = true;
        this.broadcast.publish({ type: "draining" });
    }

    /** Stops computing; heartbeats go on. */
    setStalled(stalled: boolean): void {
        this.batcher.setStalled(stalled);
    }

    /** The process is gone, with all it held in memory. */
    die(): void {
        this.died = true;
        for (const timer of this.timers.splice(0)) {
            clearInterval(timer);
        }
        for (const attempt of this.attempts.values()) {
            attempt.abandon();
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
                blocks: this.options.prefixCacheBlocks ?? defaults.defaultPrefixCacheBlocks,
                delayMilliseconds: this.options.cacheEventDelayMilliseconds
                    ?? defaults.defaultCacheEventDelayMilliseconds,
                lossShare: this.options.cacheEventLossShare ?? defaults.defaultCacheEventLossShare,
            },
            this.parts.random,
            event => this.broadcast.publish(event),
        );
    }

    private createHolder(): EngineHoldings {
        return new EngineHoldings(
            {
                class: this.options.class,
                holdings: this.options.holdings,
                role: this.options.role ?? ServingRole.mixed,
                layerBytes: this.options.layerBytes ?? defaults.defaultLayerBytes,
                orderCredential: this.options.orderCredential,
            },
            this.parts.weightStore,
            this.record,
            holding => this.usesHolding(holding),
            () =>
                this.broadcast.publish({
                    type: "holdings",
                    holdings: this.holder.holdings,
                    role: this.holder.role,
                }),
        );
    }

    private usesHolding(holding: Holding): boolean {
        return this.stages.usesLayers(holding.model, holding.modelVersion, stage => stageUses(stage, holding.layers));
    }

    private refusal(request: AttemptRequest): FailureFrame["reason"] | undefined {
        if (this.draining) {
            return "draining";
        }
        if (this.attempts.size >= (this.options.maximumAttempts ?? defaults.defaultMaximumAttempts)) {
            return "overloaded";
        }
        return this.holder.holds({ ...request, layers: request.stages[0]!.layers }) ? undefined : "not-held";
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
        if (!this.holder.holds({ ...attempt, layers: attempt.stages[stageIndex]!.layers })) {
            return { refusal: "not-held", cachedTokens: 0, bytes: 0 };
        }
        return this.stages.prepare(request);
    }

    private release(attempt: HeadAttempt): void {
        const { attemptId, stages } = attempt.request;
        this.attempts.delete(attemptId);
        this.stages.release(attemptId);
        for (const address of new Set(stages.slice(1).map(stage => stage.address))) {
            this.parts.network.send(this, address, { kind: "release", attemptId }, () => undefined);
        }
    }

    private check(): void {
        const now = monotonicNow();
        for (const attempt of [...this.attempts.values()]) {
            attempt.check(now, this.heartbeatMilliseconds);
        }
        this.attemptCache.removeExpired();
    }

    private measureLoad(): LoadReport {
        const capacity = this.options.cacheBytes ?? defaults.defaultCacheBytes;
        return {
            runningAttempts: this.stages.attemptCount,
            queuedAttempts: this.batcher.lastQueued,
            pendingTokens: this.stages.remainingTokens + this.batcher.pendingTokens,
            stepMilliseconds: this.batcher.lastStepMilliseconds,
            freeCacheBytes: Math.max(0, capacity - this.attemptCache.bytes),
        };
    }

    private reportLoad(): void {
        const load = this.measureLoad();
        const lag = this.options.loadReportLagMilliseconds ?? defaults.defaultLoadReportLagMilliseconds;
        setTimeout(() => {
            if (!this.died) {
                this.broadcast.publish({ type: "load", load });
            }
        }, lag);
    }
}
