/** Timers of one router. Tests give others, which stand still while a router is paused. */

export interface Timers {
    /** Runs the action after the given time; the result cancels it. */
    after(milliseconds: number, action: () => void): () => void;
}

export class RuntimeTimers implements Timers {
    after(milliseconds: number, action: () => void): () => void {
        const timer = setTimeout(action, milliseconds);
        return () => clearTimeout(timer);
    }
}
