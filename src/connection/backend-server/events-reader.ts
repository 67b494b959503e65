/** Reads the event stream of a backend server. Reconnects with backoff when the stream fails or goes silent. */
import type { Dispatcher } from "undici";
import type { Logger } from "../../common/logger.js";
import type { RandomSource } from "../../common/random.js";
import type { BackendServerEvent } from "../../domain/engine-protocol.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { BoundedLineSplitter } from "./bounded-line-splitter.js";
import type { BackendServerConnectionSettings } from "./settings.js";

const okStatus = 200;

export interface EventsReaderDependencies {
    readonly backendServer: string;
    readonly settings: BackendServerConnectionSettings;
    /** Returns the dispatcher for the next connection. */
    readonly dispatcher: () => Dispatcher;
    readonly publish: (event: BackendServerEvent) => void;
    /** Called when the event stream goes silent, since pooled connections to the same server may be silent too. */
    readonly onSilence: () => void;
    readonly random: RandomSource;
    readonly logger: Logger;
}

export class EventsReader {
    private controller: Dispatcher.DispatchController | undefined;
    /** Silence timer while connected; reconnect timer between connections. */
    private timer: ReturnType<typeof setTimeout> | undefined;
    /** Increases when a connection is opened or closed, so that late callbacks of earlier ones are ignored. */
    private generation = 0;
    private consecutiveFailures = 0;

    constructor(private readonly dependencies: EventsReaderDependencies) {}

    start(): void {
        const generation = ++this.generation;
        const { settings } = this.dependencies;
        const splitter = new BoundedLineSplitter(settings.maximumLineBytes);
        this.restartSilenceTimer(generation);
        this.dependencies.dispatcher().dispatch(
            { method: "GET", path: "/v1/events", headersTimeout: 0, bodyTimeout: 0 },
            {
                onRequestStart: controller => this.handleRequestStart(generation, controller),
                onResponseStart: (_controller, statusCode) => {
                    if (statusCode !== okStatus) {
                        this.scheduleReconnect(generation, `expected status 200, got ${statusCode}`);
                    }
                },
                onResponseData: (_controller, chunk) => this.handleChunk(generation, splitter, chunk),
                onResponseEnd: () => this.scheduleReconnect(generation, "event stream ended"),
                onResponseError: (_controller, error) => this.scheduleReconnect(generation, error.message),
            },
        );
    }

    stop(): void {
        this.generation++;
        clearTimeout(this.timer);
        this.abort();
    }

    private handleRequestStart(generation: number, controller: Dispatcher.DispatchController): void {
        if (generation === this.generation) {
            this.controller = controller;
        }
        else {
            controller.abort(
                new ConnectionFailedError(this.dependencies.backendServer, ConnectionFailure.broken, false),
            );
        }
    }

    private handleChunk(generation: number, splitter: BoundedLineSplitter, chunk: Buffer): void {
        if (generation !== this.generation) {
            return;
        }
        this.restartSilenceTimer(generation);
        try {
            // An oversized line is replaced by an empty one, which fails to parse.
            for (const line of splitter.push(chunk) ?? [""]) {
                this.dependencies.publish(JSON.parse(line) as BackendServerEvent);
            }
            this.consecutiveFailures = 0;
        }
        catch {
            this.scheduleReconnect(generation, "malformed or oversized event line");
        }
    }

    private restartSilenceTimer(generation: number): void {
        clearTimeout(this.timer);
        this.timer = setTimeout(() => {
            this.dependencies.onSilence();
            this.scheduleReconnect(generation, "no event or heartbeat within the silence timeout");
        }, this.dependencies.settings.silenceMilliseconds);
    }

    private scheduleReconnect(generation: number, reason: string): void {
        if (generation !== this.generation) {
            return;
        }
        this.generation++;
        clearTimeout(this.timer);
        this.abort();
        const { settings, random, logger } = this.dependencies;
        const maximumDelayMilliseconds = Math.min(
            settings.reconnectMaximumMilliseconds,
            settings.reconnectMinimumMilliseconds * 2 ** this.consecutiveFailures++,
        );
        logger.debug("event stream failed; reconnecting after a backoff", {
            backendServer: this.dependencies.backendServer,
            reason,
        });
        this.timer = setTimeout(() => this.start(), maximumDelayMilliseconds * (0.5 + random.next() / 2));
    }

    private abort(): void {
        const controller = this.controller;
        this.controller = undefined;
        controller?.abort(new ConnectionFailedError(this.dependencies.backendServer, ConnectionFailure.broken, true));
    }
}
