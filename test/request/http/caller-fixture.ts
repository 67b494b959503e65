/** HTTP interface for callers on the loopback address, with an answer service that follows a script. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { hashKey } from "../../../src/common/credentials.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { createStream, type Emitter } from "../../../src/common/streams.js";
import type { Configuration, ConfigurationSource } from "../../../src/domain/configuration.js";
import { CallerGoneError, Outcome } from "../../../src/errors/index.js";
import { DrainController } from "../../../src/process/drain/drain-controller.js";
import type { Admission } from "../../../src/request/admission/types.js";
import type { Answer, AnswerEvent, AnswerRequest, AnswerService } from "../../../src/request/answer/types.js";
import { ChatHandler } from "../../../src/request/chat/chat-handler.js";
import { CallerHandler } from "../../../src/request/http/caller-handler.js";
import { ModelsHandler } from "../../../src/request/models/models-handler.js";

export const apiKey = "haddow-key";
const maximumBodyBytes = 4096;
const bodyTimeoutMilliseconds = 100;

export const configuration: Configuration = {
    version: 1,
    pushId: "push-1",
    parent: 0,
    author: "planner",
    acceptedAt: "2026-12-04T06:00:00Z",
    models: new Map([["bale-8b", {
        name: "bale-8b",
        version: "1",
        layerTotal: 8,
        layerBytes: 1,
        activationBytes: 1,
        cacheBytesPerTokenLayer: 1,
        adapters: [],
        maximumTokens: 64,
    }]]),
    routes: new Map([createRoute("grade-report", []), createRoute("private", ["someone-else"])]),
    customers: new Map([["haddow", {
        name: "haddow",
        keyHashes: [hashKey(apiKey)],
        weight: 1,
        tokensPerSecond: 1000,
        burstTokens: 1000,
    }]]),
    services: new Map(),
    backendServerClasses: new Map(),
    topology: { link: () => ({ latencyMilliseconds: 1, bytesPerSecond: 1e9 }) },
    weightStore: { bytesPerSecond: 1e9 },
};

function createRoute(name: string, customers: readonly string[]) {
    return [name, {
        name,
        model: "bale-8b",
        priority: 1,
        defaultTimeoutMilliseconds: 10_000,
        retryShare: 0.1,
        customers,
    }] as const;
}

/** An answer that emits the events of its script and counts the calls that a test checks. */
export class ScriptedAnswer implements Answer {
    pauses = 0;
    resumes = 0;
    cancelled = false;
    readonly events = createStream<AnswerEvent>(emitter => {
        this.request.callerGone.addEventListener("abort", () => {
            this.cancelled = true;
            emitter.fail(new CallerGoneError(Outcome.failed));
        });
        this.script(emitter, this);
        return () => undefined;
    });

    constructor(
        readonly request: AnswerRequest,
        private readonly script: (emitter: Emitter<AnswerEvent>, answer: ScriptedAnswer) => void,
    ) {}

    pause(): void {
        this.pauses++;
    }

    resume(): void {
        this.resumes++;
    }
}

export type AnswerScript = (emitter: Emitter<AnswerEvent>, answer: ScriptedAnswer) => void;

export function emitTokens(emitter: Emitter<AnswerEvent>, words: readonly string[]): void {
    words.forEach((text, position) => emitter.next({ type: "token", position, text }));
}

export function emitEnd(emitter: Emitter<AnswerEvent>, completionTokens: number): void {
    emitter.next({ type: "end", finishReason: "stop", promptTokens: 5, completionTokens });
    emitter.complete();
}

/** Runs the HTTP interface for callers; every answer follows the given script. */
export class CallerFixture {
    readonly answers: ScriptedAnswer[] = [];
    readonly releasedTokens: number[] = [];
    readonly drain = new DrainController(
        { balancerDelayMilliseconds: 0, timeoutMilliseconds: 1000 },
        new SilentLogger(),
    );
    private readonly server: Server;

    constructor(private readonly script: AnswerScript) {
        const answerService: AnswerService = { start: request => this.startAnswer(request) };
        const admission: Admission = {
            admit: async () => ({
                queuedMilliseconds: 0,
                release: tokens => void this.releasedTokens.push(tokens),
            }),
        };
        const chat = new ChatHandler(admission, answerService, new SilentMetrics(), {
            bodyLimits: { maximumBytes: maximumBodyBytes, timeoutMilliseconds: bodyTimeoutMilliseconds },
            maximumTimeoutMilliseconds: 60_000,
        });
        const models = new ModelsHandler();
        const configurations: ConfigurationSource = { current: configuration, onChange: () => () => undefined };
        const handler = new CallerHandler(
            configurations,
            this.drain,
            {
                chat: exchange => chat.handle(exchange),
                listModels: exchange => models.list(exchange),
                retrieveModel: (exchange, name) => models.retrieve(exchange, name),
                service: async () => undefined,
            },
            () => this.drain.ready,
            new SilentMetrics(),
            new SilentLogger(),
        );
        this.server = createServer(handler.listener);
    }

    private startAnswer(request: AnswerRequest): Answer {
        const answer = new ScriptedAnswer(request, this.script);
        this.answers.push(answer);
        return answer;
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    async stop(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    get address(): string {
        return `http://127.0.0.1:${this.port}`;
    }

    post(body: string, headers: Record<string, string> = {}): Promise<Response> {
        return fetch(`${this.address}/v1/chat/completions`, {
            method: "POST",
            headers: { "authorization": `Bearer ${apiKey}`, "content-type": "application/json", ...headers },
            body,
        });
    }

    chat(stream: boolean, fields: Record<string, unknown> = {}): Promise<Response> {
        return this.post(JSON.stringify({
            model: "grade-report",
            stream,
            messages: [{ role: "user", content: "Grade this load." }],
            ...fields,
        }));
    }
}
