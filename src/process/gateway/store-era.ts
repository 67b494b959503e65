/**
 * The era of the platform's store as far as this process knows it, from every answer of the store and from other routers. A
 * higher era is one event for the whole process. A lower one is never followed: its answer is older than what is known, or the
 * store is faulty.
 */
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { OutdatedStoreAnswerError } from "../../errors/index.js";

export interface EraChange {
    readonly before: number;
    readonly after: number;
}

/** Of a store that states none. */
const unstatedEra = 0;

export class StoreEra {
    private latest: number | undefined;
    private readonly listeners: ((change: EraChange) => void)[] = [];
    private hasLoggedOlder = false;

    constructor(private readonly metrics: Metrics, private readonly logger: Logger) {}

    get current(): number {
        return this.latest ?? unstatedEra;
    }

    /** The era that has been stated; undefined before. */
    get stated(): number | undefined {
        return this.latest;
    }

    /** Calls the listener on each change, before the answer that shows it is used. The first era known is no change. */
    onChange(listener: (change: EraChange) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Takes note of the era that an answer states, if it states one, and returns the era of the answer. Throws
     * OutdatedStoreAnswerError if it is lower than the current one.
     */
    observe(stated: number | undefined): number {
        if (stated === undefined) {
            return this.current;
        }
        const before = this.latest;
        if (before !== undefined && stated < before) {
            this.recordOlder(stated, before);
            throw new OutdatedStoreAnswerError(stated, before);
        }
        this.latest = stated;
        if (before !== undefined && stated > before) {
            this.metrics.increment("pomelostall.gateway.store_era_changes");
            this.listeners.forEach(listener => listener({ before, after: stated }));
        }
        return stated;
    }

    private recordOlder(stated: number, current: number): void {
        this.metrics.increment("pomelostall.gateway.outdated_store_answers");
        if (!this.hasLoggedOlder) {
            this.hasLoggedOlder = true;
            this.logger.warn("store stated an era before the current one; its answer is not used, nor are later ones", {
                stated,
                current,
            });
        }
    }
}
