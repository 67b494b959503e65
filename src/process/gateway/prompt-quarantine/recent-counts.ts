/** Counts events by name over the last minutes, in bounded memory: the least used names are dropped. */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../../common/clock.js";

/** A count covers one to two periods. */
const periodMilliseconds = 300_000;
const maximumNames = 10_000;

export class RecentCounts {
    private current = createCounts();
    private previous = createCounts();
    private periodStartedAt = monotonicNow();

    record(name: string): void {
        this.beginPeriodIfDue();
        this.current.set(name, (this.current.get(name) ?? 0) + 1);
    }

    count(name: string): number {
        this.beginPeriodIfDue();
        return (this.current.get(name) ?? 0) + (this.previous.get(name) ?? 0);
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
    return new LRUCache({ max: maximumNames });
}
