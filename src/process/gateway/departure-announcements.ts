/** Announcements of servers that they are leaving. One is undone only by the server's next start. */
import { monotonicNow } from "../../common/clock.js";
import { formatServerStart, type ServerStart } from "../../domain/gateway/server-entry.js";

/** No server is leaving for this long; announcements are forgotten afterwards to bound the memory that they take. */
const retentionMilliseconds = 3_600_000;

export class DepartureAnnouncements {
    /** Monotonic times of the first announcements, keyed by server and start. */
    private readonly times = new Map<string, number>();

    /** Monotonic time of the first announcement of this start in milliseconds. */
    timeOf(server: ServerStart): number | undefined {
        return this.times.get(formatServerStart(server));
    }

    record(server: ServerStart, announcedAt: number): void {
        const key = formatServerStart(server);
        if (!this.times.has(key)) {
            this.times.set(key, announcedAt);
        }
    }

    forgetOld(): void {
        const limit = monotonicNow() - retentionMilliseconds;
        for (const [key, announcedAt] of this.times) {
            if (announcedAt < limit) {
                this.times.delete(key);
            }
        }
    }
}
