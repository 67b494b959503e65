/**
 * Starts and stops the process's components. Components start in the order in which they were added and stop in
 * reverse order. Each stop has its own timeout, so that a component that hangs does not block the others.
 */
import { InternalError } from "../errors/index.js";
import type { Logger } from "./logger.js";

/** A component that the life cycle starts and stops. */
export interface ManagedComponent {
    readonly name: string;
    start(): Promise<void>;
    /** Stops gracefully. Called at most once, after `start` has resolved. */
    stop(): Promise<void>;
}

const defaultStopTimeoutMilliseconds = 30_000;

export class LifeCycle {
    private readonly components: ManagedComponent[] = [];
    private readonly started: ManagedComponent[] = [];
    private stopping: Promise<void> | undefined;

    constructor(
        private readonly logger: Logger,
        private readonly stopTimeoutMilliseconds: number = defaultStopTimeoutMilliseconds,
    ) {}

    /** Adds a component. It starts after all components that were added before it. */
    add(component: ManagedComponent): void {
        this.components.push(component);
    }

    /** Adds a component that needs no start, only a function that closes it. */
    addCloseHandler(name: string, close: () => Promise<void>): void {
        this.add({ name, start: async () => undefined, stop: close });
    }

    /** Starts every component. If one fails to start, stops those already started and rejects with the failure. */
    async start(): Promise<void> {
        for (const component of this.components) {
            try {
                await component.start();
            }
            catch (error) {
                await this.stop();
                throw error;
            }
            this.started.push(component);
        }
    }

    /** Stops every started component in reverse order. Later calls return the promise of the first. */
    stop(): Promise<void> {
        this.stopping ??= this.stopAll();
        return this.stopping;
    }

    private async stopAll(): Promise<void> {
        for (const component of [...this.started].reverse()) {
            try {
                await this.stopWithTimeout(component);
            }
            catch (error) {
                this.logger.error(`failed to stop component ${component.name}, continuing with the next`, {
                    error: String(error),
                });
            }
        }
    }

    private async stopWithTimeout(component: ManagedComponent): Promise<void> {
        let timer: ReturnType<typeof setTimeout> | undefined;
        const timeout = new Promise<never>((_resolve, reject) => {
            timer = setTimeout(
                () =>
                    reject(
                        new InternalError(
                            `Component ${component.name} did not stop within ${this.stopTimeoutMilliseconds} ms.`,
                        ),
                    ),
                this.stopTimeoutMilliseconds,
            );
        });
        try {
            await Promise.race([component.stop(), timeout]);
        }
        finally {
            clearTimeout(timer);
        }
    }
}
