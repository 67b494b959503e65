/**
 * The life-cycle manager: owns everything that must be started and closed. Parts start in the order in which they
 * were added and stop in reverse order; each stop has its own timeout, so that one that hangs can't hold the rest.
 */
import { InternalError } from "../errors/index.js";
import type { Logger } from "./logger.js";

/** A part with a start and a stop. */
export interface ManagedComponent {
    readonly name: string;
    start(): Promise<void>;
    /** Stops gracefully. Called at most once, after start. */
    stop(): Promise<void>;
}

const defaultStopTimeoutMilliseconds = 30_000;

export class LifeCycle {
    private readonly parts: ManagedComponent[] = [];
    private readonly started: ManagedComponent[] = [];
    private stopping: Promise<void> | undefined;

    constructor(
        private readonly logger: Logger,
        private readonly stopTimeoutMilliseconds: number = defaultStopTimeoutMilliseconds,
    ) {}

    /** Adds a part; it is started after all parts added before it. */
    add(part: ManagedComponent): void {
        this.parts.push(part);
    }

    /** Adds something that has no start and must be closed. */
    addCloseHandler(name: string, close: () => Promise<void>): void {
        this.add({ name, start: async () => undefined, stop: close });
    }

    /** Starts every part; if one fails, those already started are stopped and the failure is thrown. */
    async start(): Promise<void> {
        for (const part of this.parts) {
            try {
                await part.start();
            }
            catch (error) {
                await this.stop();
                throw error;
            }
            this.started.push(part);
        }
    }

    /** Stops every started part in reverse order. Later calls wait for the first. */
    stop(): Promise<void> {
        this.stopping ??= this.stopAll();
        return this.stopping;
    }

    private async stopAll(): Promise<void> {
        for (const part of [...this.started].reverse()) {
            try {
                await this.stopWithin(part);
            }
            catch (error) {
                this.logger.error(`could not stop ${part.name}`, { error: String(error) });
            }
        }
    }

    private async stopWithin(part: ManagedComponent): Promise<void> {
        let timer: ReturnType<typeof setTimeout> | undefined;
        const timeout = new Promise<never>((_resolve, reject) => {
            timer = setTimeout(
                () => reject(new InternalError(`${part.name} did not stop in ${this.stopTimeoutMilliseconds} ms.`)),
                this.stopTimeoutMilliseconds,
            );
        });
        try {
            await Promise.race([part.stop(), timeout]);
        }
        finally {
            clearTimeout(timer);
        }
    }
}
