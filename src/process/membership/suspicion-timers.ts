/** Timers of suspicions: a suspect that does not refute its suspicion in time is reported as dead. */
import { monotonicNow } from "../../common/clock.js";
import type { RouterMember } from "../../domain/fleet.js";
import type { Timers } from "./timers.js";

/**
 * A timer that runs later than this was delayed by a pause of this router. A refutation may have arrived during
 * the pause without being processed, so the suspect gets its full time again.
 */
const maximumTimerDelayMilliseconds = 500;

interface Suspicion {
    readonly incarnation: number;
    readonly cancel: () => void;
}

export class SuspicionTimers {
    private readonly suspicions = new Map<string, Suspicion>();

    constructor(
        private readonly timers: Timers,
        private readonly onExpired: (id: string, incarnation: number) => void,
    ) {}

    start(member: RouterMember, milliseconds: number): void {
        this.cancel(member.id);
        const deadline = monotonicNow() + milliseconds;
        const cancel = this.timers.after(milliseconds, () => {
            if (monotonicNow() - deadline > maximumTimerDelayMilliseconds) {
                this.start(member, milliseconds);
                return;
            }
            this.suspicions.delete(member.id);
            this.onExpired(member.id, member.incarnation);
        });
        this.suspicions.set(member.id, { incarnation: member.incarnation, cancel });
    }

    cancel(id: string): void {
        this.suspicions.get(id)?.cancel();
        this.suspicions.delete(id);
    }

    stop(): void {
        for (const id of [...this.suspicions.keys()]) {
            this.cancel(id);
        }
    }
}
