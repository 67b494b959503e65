/** Timers of one router. Tests inject timers that can be paused to simulate a paused router. */

export interface Timers {
    /** Runs the action after the given time. Returns a function that cancels it. */
    after(milliseconds: number, action: () => void): () => void;
}

export class RuntimeTimers implements Timers {
    after(milliseconds: number, action: () => void): () => void {
        const timer = setTimeout(action, milliseconds);
        return () => clearTimeout(timer);
    }
}
