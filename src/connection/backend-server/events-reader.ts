/** Reads a backend server's events stream, and opens it again whenever it breaks or goes silent. */
import type { Dispatcher } from "undici";
import type { Logger } from "../../common/logger.js";
import type { RandomSource } from "../../common/random.js";
import type { BackendServerEvent } from "../../domain/engine-protocol.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { LineSplitter } from "./line-splitter.js";
import type { BackendServerConnectionSettings } from "./settings.js";

const okStatus = 200;

export interface EventsReaderParts {
    readonly backendServer: string;
    readonly settings: BackendServerConnectionSettings;
    /** The dispatcher to use for the next connection. */
    readonly dispatcher: () => Dispatcher;
    readonly publish: (event: BackendServerEvent) => void;
    /** An open connection went silent, so others may have as well. */
    readonly wentSilent: () => void;
    readonly random: RandomSource;
    readonly logger: Logger;
}

export class EventsReader {
    private controller: Dispatcher.DispatchController | undefined;
    private timer: ReturnType<typeof setTimeout> | undefined;
    private generation = 0;
    private failures = 0;

    constructor(private readonly parts: EventsReaderParts) {}

    start(): void {
        const generation = ++this.generation;
        const { settings } = this.parts;
        const splitter = new LineSplitter(settings.maximumLineBytes);
        this.watch(generation);
        this.parts.dispatcher().dispatch(
            { method: "GET", path: "/v1/events", headersTimeout: 0, bodyTimeout: 0 },
            {
                onRequestStart: controller => this.begin(generation, controller),
                onResponseStart: (_controller, statusCode) => {
                    if (statusCode !== okStatus) {
                        this.retry(generation, `status ${statusCode}`);
                    }
                },
                onResponseData: (_controller, chunk) => this.receive(generation, splitter, chunk),
                onResponseEnd: () => this.retry(generation, "the stream ended"),
                onResponseError: (_controller, error) => this.retry(generation, error.message),
            },
        );
    }

    stop(): void {
        this.generation++;
        clearTimeout(this.timer);
        this.abort();
    }

    private begin(generation: number, controller: Dispatcher.DispatchController): void {
        if (generation === this.generation) {
            this.controller = controller;
        }
        else {
            controller.abort(new ConnectionFailedError(this.parts.backendServer, ConnectionFailure.broken, false));
        }
    }

    private receive(generation: number, splitter: LineSplitter, chunk: Buffer): void {
        if (generation !== this.generation) {
            return;
        }
        this.watch(generation);
        try {
            for (const line of splitter.push(chunk) ?? [""]) {
                this.parts.publish(JSON.parse(line) as BackendServerEvent);
            }
            this.failures = 0;
        }
        catch {
            this.retry(generation, "an event could not be read");
        }
    }

    private watch(generation: number): void {
        clearTimeout(this.timer);
        this.timer = setTimeout(() => {
            this.parts.wentSilent();
            this.retry(generation, "silence");
        }, this.parts.settings.silenceMilliseconds);
    }

    private retry(generation: number, reason: string): void {
        if (generation !== this.generation) {
            return;
        }
        this.generation++;
        clearTimeout(this.timer);
        this.abort();
        const { settings, random, logger } = this.parts;
        const longest = Math.min(
            settings.reconnectMaximumMilliseconds,
            settings.reconnectMinimumMilliseconds * 2 ** this.failures++,
        );
        logger.debug("the events stream is opened again", { backendServer: this.parts.backendServer, reason });
        this.timer = setTimeout(() => this.start(), longest * (0.5 + random.next() / 2));
    }

    private abort(): void {
        const controller = this.controller;
        this.controller = undefined;
        controller?.abort(new ConnectionFailedError(this.parts.backendServer, ConnectionFailure.broken, true));
    }
}
