/** Order of work in the event loop. */
import { delay } from "./clock.js";

/**
 * Calls the function once the event loop has read all input that has already arrived, such as the closing of a
 * connection. On a router that is behind, a request and its caller's disconnection arrive together but are read one
 * after the other.
 */
export function afterPendingInput(run: () => void): void {
    // The first callback runs before the next poll for input, the second one after it.
    setImmediate(() => setImmediate(run));
}

/** Resolves once the event loop has read all input that has already arrived. */
export function readPendingInput(): Promise<void> {
    return new Promise(resolve => afterPendingInput(resolve));
}

/** Resolves once the time is over and the event loop has read all input that arrived by then. */
export async function waitForInput(milliseconds: number): Promise<void> {
    await delay(milliseconds);
    await readPendingInput();
}
