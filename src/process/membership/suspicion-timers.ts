/** Timers that report suspects as dead if they do not refute in time. */
import { monotonicNow } from "../../common/clock.js";
import type { RouterMember } from "../../domain/fleet.js";
import type { Timers } from "./timers.js";

/**
 * A timer that is later than this was delayed by a pause of this router. The pause proves nothing about the suspect,
 * which gets its full time again.
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
