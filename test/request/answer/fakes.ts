/** Test doubles for the dependencies of the answer service: attempts receive their frames from the test itself. */
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import { createStream, type Emitter } from "../../../src/common/streams.js";
import type { Attempt, BackendServerConnection } from "../../../src/domain/backend-connection.js";
import type { Configuration, Route } from "../../../src/domain/configuration.js";
import type { AttemptRequest, EngineFrame, FailureFrame, HoldingsReport } from "../../../src/domain/engine-protocol.js";
import type { LayerRange } from "../../../src/domain/layers.js";
import type { ModelDescription } from "../../../src/domain/model.js";
import { PipelinePlan } from "../../../src/domain/pipeline-plan.js";
import { ConnectionFailedError, NoPipelineError, type PomelostallError } from "../../../src/errors/index.js";
import type { AnswerDependencies } from "../../../src/request/answer/dependencies.js";
import { PipelineAnswerService } from "../../../src/request/answer/pipeline-answer-service.js";
import type { Answer, AnswerEvent, AnswerRequest } from "../../../src/request/answer/types.js";
import type { PipelineChoice, PipelineRequest } from "../../../src/request/pipeline-choice/types.js";

export const model: ModelDescription = {
    name: "tiny",
    version: "1",
    layerTotal: 8,
    layerBytes: 1,
    activationBytes: 1,
    cacheBytesPerTokenLayer: 1,
    adapters: [],
    maximumTokens: 100,
};

export const route: Route = {
    name: "tiny",
    model: "tiny",
    priority: 0,
    defaultTimeoutMilliseconds: 10_000,
    retryShare: 0.1,
    customers: [],
};

/** An attempt whose frames and connection failures come from the test. */
export class FakeAttempt implements Attempt {
    cancelled = false;
    paused = false;
    private emitter: Emitter<EngineFrame> | undefined;
    readonly frames = createStream<EngineFrame>(emitter => {
        this.emitter = emitter;
        return () => undefined;
    });

    constructor(readonly request: AttemptRequest, readonly backendServer: string) {}

    pause(): void {
        this.paused = true;
    }

    resume(): void {
        this.paused = false;
    }

    cancel(): void {
        this.cancelled = true;
    }

    send(frame: EngineFrame): void {
        this.emitter?.next(frame);
    }

    token(position: number, overrides: { planId?: string; attemptId?: string; layers?: LayerRange[]; } = {}): void {
        const { attemptId, planId } = this.request;
        const layers = this.request.stages.map(stage => stage.layers);
        this.send({ type: "token", attemptId, planId, position, text: `t${position}`, layers, ...overrides });
    }

    end(count: number): void {
        const { attemptId, planId } = this.request;
        this.send({ type: "end", attemptId, planId, count, finishReason: "stop", promptTokens: 5 });
        this.emitter?.complete();
    }

    failure(reason: FailureFrame["reason"], started: boolean, backendServer?: string): void {
        const { attemptId, planId } = this.request;
        this.send({ type: "failure", attemptId, planId, reason, started, backendServer });
        this.emitter?.complete();
    }

    heartbeat(): void {
        this.send({ type: "heartbeat", attemptId: this.request.attemptId });
    }

    break(failure: "refused" | "broken" | "silent", bytesWritten: boolean): void {
        this.emitter?.fail(new ConnectionFailedError(this.backendServer, failure, bytesWritten));
    }
}

/**
 * Fake dependencies of the answer service, with three backend servers for each half of the model. The chooser takes the
 * first server of each half that is not excluded.
 */
export class AnswerHarness {
    readonly attempts: FakeAttempt[] = [];
    readonly choices: PipelineRequest[] = [];
    readonly unreachableServers = new Set<string>();
    readonly failedServers: string[] = [];
    readonly drainingServers: string[] = [];
    inFlight = 0;
    expectedFirstTokenMilliseconds = 10;
    remainingRetries = Infinity;
    readonly dependencies: AnswerDependencies = {
        chooser: { choose: request => this.choose(request) },
        connections: { get: backendServer => this.connection(backendServer) },
        inFlightCounter: {
            begin: () => {
                this.inFlight++;
                return () => this.inFlight--;
            },
        },
        health: {
            ejected: () => new Set(),
            recordSuccess: () => undefined,
            recordFailure: backendServer => this.failedServers.push(backendServer),
            recordDraining: backendServer => this.drainingServers.push(backendServer),
        },
        retryBudgets: {
            forRoute: () => ({ recordFirstAttempt: () => undefined, tryTake: () => this.remainingRetries-- > 0 }),
        },
        capacity: {
            recordFirstToken: () => undefined,
            recordTokenGap: () => undefined,
            recordOverload: () => undefined,
        },
        random: new SeededRandom(1),
        logger: new SilentLogger(),
        metrics: new SilentMetrics(),
    };

    get lastAttempt(): FakeAttempt {
        return this.attempts.at(-1)!;
    }

    private choose(request: PipelineRequest): PipelineChoice {
        this.choices.push(request);
        const firstAllowed = (names: string[]) => names.find(name => !request.excluded.has(name));
        const [head, tail] = [firstAllowed(["a1", "a2", "a3"]), firstAllowed(["b1", "b2", "b3"])];
        if (head === undefined || tail === undefined) {
            throw new NoPipelineError(request.model.name);
        }
        const plan = new PipelinePlan(`plan-${this.choices.length}`, "tiny", 8, [
            { backendServer: head, address: `http://${head}`, layers: { first: 0, last: 3 } },
            { backendServer: tail, address: `http://${tail}`, layers: { first: 4, last: 7 } },
        ]);
        return {
            plan,
            expectedFirstTokenMilliseconds: this.expectedFirstTokenMilliseconds,
            expectedTokenMilliseconds: 10,
            recomputedTokens: 0,
            considered: [],
            reason: "first",
        };
    }

    private connection(backendServer: string): BackendServerConnection {
        return {
            backendServer,
            startAttempt: request => {
                const attempt = new FakeAttempt(request, backendServer);
                this.attempts.push(attempt);
                return attempt;
            },
            readHoldings: async () => {
                if (this.unreachableServers.has(backendServer)) {
                    throw new ConnectionFailedError(backendServer, "silent", true);
                }
                return {} as HoldingsReport;
            },
        } as Partial<BackendServerConnection> as BackendServerConnection;
    }
}

/** Starts an answer and records its events. */
export class RecordingCaller {
    readonly positions: number[] = [];
    text = "";
    end: AnswerEvent | undefined;
    error: PomelostallError | undefined;
    readonly answer: Answer;
    private readonly connection = new AbortController();

    constructor(harness: AnswerHarness, overrides: Partial<AnswerRequest> = {}) {
        this.answer = new PipelineAnswerService(harness.dependencies).start({
            requestId: "request",
            configuration: { version: 1 } as Configuration,
            route,
            model,
            messages: [{ role: "user", content: "hello" }],
            maximumTokens: 50,
            deadline: performance.now() + 10_000,
            callerGone: this.connection.signal,
            ...overrides,
        });
        this.answer.events.subscribe({
            next: event => {
                if (event.type === "token") {
                    this.positions.push(event.position);
                    this.text += event.text;
                }
                else {
                    this.end = event;
                }
            },
            error: error => {
                this.error = error as PomelostallError;
            },
            complete: () => undefined,
        });
    }

    disconnect(): void {
        this.connection.abort();
    }
}
