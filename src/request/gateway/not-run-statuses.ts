/**
 * Statuses that tell a caller that its request has not run and never will, after which it may send the request again. Only
 * the gateway itself sends them: a backend server's response with one of them either proves that the request has not run,
 * and the gateway then refuses the request itself, or it does not, and the status would tell the caller something untrue.
 */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export function impliesNotRun(status: number): boolean {
    return notRunStatuses.has(status);
}
