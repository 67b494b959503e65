/** Counts the successes of each prompt part over the last minutes, in bounded memory: the least used parts are dropped. */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../../common/clock.js";

/** A count covers one to two periods. */
const periodMilliseconds = 300_000;
const maximumParts = 10_000;

export class SuccessCounts {
    private current = createCounts();
    private previous = createCounts();
    private periodStartedAt = monotonicNow();

    record(part: string): void {
        this.beginPeriodIfDue();
        this.current.set(part, (this.current.get(part) ?? 0) + 1);
    }

    count(part: string): number {
        this.beginPeriodIfDue();
        return (this.current.get(part) ?? 0) + (this.previous.get(part) ?? 0);
    }

    private beginPeriodIfDue(): void {
        const elapsed = monotonicNow() - this.periodStartedAt;
        if (elapsed < periodMilliseconds) {
            return;
        }
        this.previous = elapsed < 2 * periodMilliseconds ? this.current : createCounts();
        this.current = createCounts();
        this.periodStartedAt = monotonicNow();
    }
}

function createCounts(): LRUCache<string, number> {
    return new LRUCache({ max: maximumParts });
}
