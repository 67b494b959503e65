/**
 * Follows a return of the platform's store from an older copy, from the first answer that shows it until this router has
 * written again what is its own, and says so in one log line.
 */
import { monotonicNow } from "../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { ItemChange, StoredItem } from "../../domain/gateway/metadata-store.js";
import type { StorePosition } from "../../domain/gateway/store-position.js";
import { ReadContext, type StoreObserver } from "./store-observer.js";

export interface StoreRecoveryDependencies {
    readonly observer: StoreObserver;
    readonly registry: { readonly distrustedCount: number; };
    readonly leadership: { readonly isLeader: boolean; handleNewEra(): void; };
    readonly routers: { handleNewEra(): void; waitForRegistration(): Promise<void>; };
    /** Resolves to the number of records that have been written again. */
    readonly quarantine: { restore(signal: AbortSignal): Promise<number>; };
    readonly failures: FailureReporter;
    readonly logger: Logger;
}

interface Recovery {
    readonly startedAt: number;
    readonly before: StorePosition;
    readonly wasLeader: boolean;
}

export class StoreRecovery implements StoreObserver, ManagedComponent {
    readonly name = "store recovery";
    private recovery: Recovery | undefined;
    private ending = new AbortController();
    private readonly boundary: FailureBoundary;

    constructor(private readonly dependencies: StoreRecoveryDependencies) {
        this.boundary = dependencies.failures.createBoundary(this.name);
    }

    async start(): Promise<void> {}

    async stop(): Promise<void> {
        this.ending.abort();
    }

    /** Called on the first answer of a new era, with the last position of the one before. */
    begin(before: StorePosition): void {
        const { leadership, routers } = this.dependencies;
        this.ending.abort();
        this.ending = new AbortController();
        this.recovery = { startedAt: monotonicNow(), before, wasLeader: leadership.isLeader };
        leadership.handleNewEra();
        routers.handleNewEra();
    }

    replaceAll(items: readonly StoredItem[], position: StorePosition, context: ReadContext): void {
        this.dependencies.observer.replaceAll(items, position, context);
        const { recovery } = this;
        if (context === ReadContext.newEra && recovery !== undefined) {
            this.recovery = undefined;
            this.boundary.run(() => this.finish(recovery, position, this.ending.signal));
        }
    }

    applyChanges(changes: readonly ItemChange[]): void {
        this.dependencies.observer.applyChanges(changes);
    }

    private async finish(recovery: Recovery, position: StorePosition, signal: AbortSignal): Promise<void> {
        const { registry, leadership, routers, quarantine, logger } = this.dependencies;
        const readAfter = Math.round(monotonicNow() - recovery.startedAt);
        const serversKept = registry.distrustedCount;
        const [recordsRestored] = await Promise.all([quarantine.restore(signal), routers.waitForRegistration()]);
        if (signal.aborted) {
            return;
        }
        logger.warn("store came back from an older copy; what this router keeps there has been written again", {
            eraBefore: recovery.before.era,
            revisionBefore: recovery.before.revision,
            era: position.era,
            revision: position.revision,
            // Servers of which this router knew more than the copy holds.
            serversKept,
            recordsRestored,
            leaseDropped: recovery.wasLeader,
            leadsAgain: leadership.isLeader,
            readAfterMilliseconds: readAfter,
            milliseconds: Math.round(monotonicNow() - recovery.startedAt),
        });
    }
}
