/** Counts events by name over the last minutes, in bounded memory: the least used names are dropped. */
import { monotonicNow } from "../../../common/clock.js";
import { RecentNames } from "./recent-names.js";

/** A count covers one to two periods. */
const periodMilliseconds = 300_000;

export class RecentCounts {
    private current = new RecentNames<number>();
    private previous = new RecentNames<number>();
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
        this.previous = elapsed < 2 * periodMilliseconds ? this.current : new RecentNames<number>();
        this.current = new RecentNames<number>();
        this.periodStartedAt = monotonicNow();
    }
}
