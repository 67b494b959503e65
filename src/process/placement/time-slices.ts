/** Runs long computations in time slices, so that the event loop can serve requests in between. */
import { monotonicNow } from "../../common/clock.js";
import { planningSliceMilliseconds } from "./constants.js";

/** Runs a generator to completion; it may be suspended at each `yield` to let the event loop run. */
export async function runInSlices<Result>(
    computation: Generator<void, Result>,
    sliceMilliseconds: number = planningSliceMilliseconds,
): Promise<Result> {
    let sliceStart = monotonicNow();
    let result = computation.next();
    while (result.done !== true) {
        if (monotonicNow() - sliceStart >= sliceMilliseconds) {
            await new Promise<void>(resolve => setImmediate(resolve));
            sliceStart = monotonicNow();
        }
        result = computation.next();
    }
    return result.value;
}
