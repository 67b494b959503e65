/** Declares suspects dead that did not refute in time. */
import { monotonicNow } from "../../common/clock.js";
import type { RouterMember } from "../../domain/fleet.js";
import type { Timers } from "./timers.js";

/** A timer that fires this much late was held up by a pause of this router, which proves nothing of others. */
const lateMilliseconds = 500;

interface Suspicion {
    readonly incarnation: number;
    readonly cancel: () => void;
}

export class Suspicions {
    private readonly suspicions = new Map<string, Suspicion>();

    constructor(
        private readonly timers: Timers,
        private readonly expired: (id: string, incarnation: number) => void,
    ) {}

    start(member: RouterMember, milliseconds: number): void {
        this.cancel(member.id);
        const deadline = monotonicNow() + milliseconds;
        const cancel = this.timers.after(milliseconds, () => {
            if (monotonicNow() - deadline > lateMilliseconds) {
                this.start(member, milliseconds);
                return;
            }
            this.suspicions.delete(member.id);
            this.expired(member.id, member.incarnation);
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
