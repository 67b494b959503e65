/** Parses the Retry-After header in its form of seconds, which may have a fraction; HTTP dates are not accepted. */

/** Bounds the length, so that the value is finite. */
const secondsPattern = /^\d{1,18}(?:\.\d{1,18})?$/;
const millisecondsPerSecond = 1_000;

/** Returns undefined unless the value is a number of seconds in decimal notation. */
export function parseRetryAfterMilliseconds(value: string): number | undefined {
    return secondsPattern.test(value) ? Number(value) * millisecondsPerSecond : undefined;
}
