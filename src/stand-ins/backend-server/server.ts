/** HTTP server for a stand-in engine. docs/BACKEND-SERVERS.md describes the protocol. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AttemptRequest, BackendServerEvent, EngineFrame, PlacementOrder } from "../../domain/engine-protocol.js";
import { HttpStandIn, readBody, sendJson, sendOk } from "../http-stand-in.js";
import { StandInEngine, type StandInEngineDependencies } from "./engine.js";
import type { EngineAttempt, FrameSink, StageMessage, StageRequest, StandInEngineOptions } from "./types.js";

const streamHeaders = { "content-type": "application/x-ndjson", "cache-control": "no-store" } as const;
const eventsHeartbeatMilliseconds = 250;
const okStatus = 200;
const notFoundStatus = 404;
const unauthorizedStatus = 401;
const cancelPattern = /^\/v1\/attempts\/([^/]+)\/cancel$/;
const bearerPattern = /^Bearer (.+)$/;

/** Fault commands that POST /stand-in/faults accepts as its plain-text body. */
export const StandInFault = {
    die: "die",
    stall: "stall",
    unstall: "unstall",
    freeze: "freeze",
    refuse: "refuse",
    accept: "accept",
    drain: "drain",
} as const;
export type StandInFault = typeof StandInFault[keyof typeof StandInFault];

/** Engine options without the address, which is known once the port is bound. */
export interface StandInBackendServerOptions extends Omit<StandInEngineOptions, "address"> {
    readonly host?: string;
    /** 0 selects any free port. */
    readonly port?: number;
}

export class StandInBackendServer {
    private readonly http: HttpStandIn;
    private startedEngine: StandInEngine | undefined;

    constructor(
        private readonly options: StandInBackendServerOptions,
        private readonly dependencies: StandInEngineDependencies,
    ) {
        this.http = new HttpStandIn((request, response) => this.handle(request, response), options.port, options.host);
    }

    get address(): string {
        return this.http.address;
    }

    /** The engine; defined only after `start`. */
    get engine(): StandInEngine {
        return this.startedEngine!;
    }

    async start(): Promise<void> {
        await this.http.listen();
        this.startedEngine = new StandInEngine({ ...this.options, address: this.http.address }, this.dependencies);
        this.startedEngine.start();
    }

    stop(): void {
        this.http.close();
        this.startedEngine?.stop();
    }

    /** Emulates the loss of the VM: closes the listener and every connection and discards the engine's state. */
    die(): void {
        this.http.close();
        this.engine.die();
    }

    /** Sends nothing more on the connections that are open now; new connections work. */
    freezeConnections(): void {
        this.http.freezeConnections();
    }

    /** Refuses new connections until `accept` is called. */
    refuse(): void {
        this.http.refuse();
    }

    async accept(): Promise<void> {
        await this.http.listen();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = request.url ?? "/";
        if (request.method === "GET") {
            this.handleGet(path, response);
            return;
        }
        const body = await readBody(request);
        const cancelledAttemptId = cancelPattern.exec(path)?.[1];
        if (cancelledAttemptId !== undefined) {
            this.engine.cancelAttempt(decodeURIComponent(cancelledAttemptId));
            sendOk(response);
            return;
        }
        await this.handlePost(path, body, request, response);
    }

    private handleGet(path: string, response: ServerResponse): void {
        if (path === "/v1/events") {
            this.streamEvents(response);
        }
        else if (path === "/v1/holdings") {
            sendJson(response, okStatus, this.engine.holdingsReport());
        }
        else {
            sendJson(response, notFoundStatus, {});
        }
    }

    private async handlePost(
        path: string,
        body: string,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        switch (path) {
            case "/v1/attempts":
                this.streamAttempt(JSON.parse(body) as AttemptRequest, response);
                break;
            case "/v1/stages":
                for (const line of body.split("\n")) {
                    this.engine.receive(JSON.parse(line) as StageMessage);
                }
                this.replyUnlessFrozen(response, {});
                break;
            case "/v1/stages/prepare":
            case "/v1/stages/ping":
            case "/v1/cache/export":
                this.replyUnlessFrozen(response, await this.engine.answer(JSON.parse(body) as StageRequest));
                break;
            case "/v1/orders":
                await this.handleOrder(JSON.parse(body) as PlacementOrder, request, response);
                break;
            case "/stand-in/faults":
                await this.applyFault(body.trim() as StandInFault);
                this.replyUnlessFrozen(response, {});
                break;
            default:
                sendJson(response, notFoundStatus, {});
        }
    }

    private async handleOrder(
        order: PlacementOrder,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        const credential = bearerPattern.exec(request.headers.authorization ?? "")?.[1];
        const { class: serverClass, orderCredential } = this.options;
        const reply = await this.engine.order(order, credential);
        const unauthorized = serverClass.checksOrders && credential !== orderCredential;
        this.replyUnlessFrozen(response, reply, unauthorized ? unauthorizedStatus : okStatus);
    }

    private replyUnlessFrozen(response: ServerResponse, value: unknown, status: number = okStatus): void {
        if (!this.http.isFrozen(response)) {
            sendJson(response, status, value);
        }
    }

    private streamAttempt(request: AttemptRequest, response: ServerResponse): void {
        response.writeHead(okStatus, streamHeaders);
        let ended = false;
        const sink: FrameSink = {
            write: frame => {
                if (!ended && !this.http.isFrozen(response) && !response.write(`${JSON.stringify(frame)}\n`)) {
                    attempt.pause();
                }
            },
            end: () => {
                ended = true;
                if (!this.http.isFrozen(response)) {
                    response.end();
                }
            },
            fail: () => {
                ended = true;
                response.destroy();
            },
        };
        let attempt: EngineAttempt = unstartedAttempt;
        attempt = this.engine.startAttempt(request, sink);
        response.on("drain", () => attempt.resume());
        response.on("close", () => {
            if (!ended) {
                ended = true;
                attempt.cancel();
            }
        });
    }

    private streamEvents(response: ServerResponse): void {
        response.writeHead(okStatus, streamHeaders);
        const write = (event: BackendServerEvent | EngineFrame) => {
            if (!this.http.isFrozen(response)) {
                response.write(`${JSON.stringify(event)}\n`);
            }
        };
        this.engine.currentStateEvents().forEach(write);
        const heartbeat = setInterval(() => write({ type: "heartbeat" }), eventsHeartbeatMilliseconds);
        const subscription = this.engine.events.subscribe({
            next: write,
            error: () => response.destroy(),
            complete: () => response.end(),
        });
        response.on("close", () => {
            clearInterval(heartbeat);
            subscription.unsubscribe();
        });
    }

    private async applyFault(fault: StandInFault): Promise<void> {
        switch (fault) {
            case StandInFault.die:
                this.die();
                break;
            case StandInFault.stall:
            case StandInFault.unstall:
                this.engine.setStalled(fault === StandInFault.stall);
                break;
            case StandInFault.freeze:
                this.freezeConnections();
                break;
            case StandInFault.refuse:
                this.refuse();
                break;
            case StandInFault.accept:
                await this.accept();
                break;
            case StandInFault.drain:
                this.engine.drain();
                break;
        }
    }
}

/** Placeholder until `startAttempt` returns, because the sink may be written to before that. */
const unstartedAttempt: EngineAttempt = { pause: () => undefined, resume: () => undefined, cancel: () => undefined };
