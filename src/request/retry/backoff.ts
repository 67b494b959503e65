/** Waits between retries: exponential, with full jitter above a floor, so that retries of many routers spread out. */
import type { RandomSource } from "../../common/random.js";

const baseMilliseconds = 20;
const maximumMilliseconds = 1_000;
/** The share of the wait that is not random. */
const fixedShare = 0.25;

/** Milliseconds to wait before the given retry, counted from 0. */
export function backoffMilliseconds(retry: number, random: RandomSource): number {
    const ceiling = Math.min(maximumMilliseconds, baseMilliseconds * 2 ** retry);
    return ceiling * (fixedShare + (1 - fixedShare) * random.next());
}
