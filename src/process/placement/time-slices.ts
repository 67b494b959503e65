/** Runs long computations in slices, so that the event loop serves requests in between. */
import { monotonicNow } from "../../common/clock.js";
import { planningSliceMilliseconds } from "./constants.js";

/** Runs a generator to its end; each `yield` is a point at which other work may run. */
export async function runInSlices<Result>(
    work: Generator<void, Result>,
    sliceMilliseconds: number = planningSliceMilliseconds,
): Promise<Result> {
    let sliceStart = monotonicNow();
    let step = work.next();
    while (step.done !== true) {
        if (monotonicNow() - sliceStart >= sliceMilliseconds) {
            await new Promise<void>(resolve => setImmediate(resolve));
            sliceStart = monotonicNow();
        }
        step = work.next();
    }
    return step.value;
}
