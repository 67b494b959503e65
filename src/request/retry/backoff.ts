/** Exponential backoff. Jitter above a fixed minimum spreads out the retries of many routers. */
import type { RandomSource } from "../../common/random.js";

const baseMilliseconds = 20;
const maximumMilliseconds = 1_000;
/** Fraction of the wait that is not random. */
const fixedFraction = 0.25;

/** Returns the wait before a retry in milliseconds. Retries are counted from 0. */
export function backoffMilliseconds(retry: number, random: RandomSource): number {
    const ceiling = Math.min(maximumMilliseconds, baseMilliseconds * 2 ** retry);
    return ceiling * (fixedFraction + (1 - fixedFraction) * random.next());
}
