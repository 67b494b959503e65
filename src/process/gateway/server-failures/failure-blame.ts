/**
 * Divides the blame for a failed attempt among the servers of its path. The first one holds the connection and writes the
 * response, so that it is the likeliest. A later one that fails on each of its paths gathers more than they do, since theirs is
 * outweighed by the successes of other paths.
 */

/** Of all servers after the first one together. */
const laterServersWeight = 0.5;

/**
 * Returns each server's share of the blame, in the order of the path; the shares add up to 1. Servers that are kept out, and
 * are known to fail, explain the failure.
 */
export function shareBlame(path: readonly { readonly isKeptOut: boolean; }[]): number[] {
    const isExplained = path.some(({ isKeptOut }) => isKeptOut);
    const weights = path.map(({ isKeptOut }, index) => {
        const weight = index === 0 ? 1 : laterServersWeight / (path.length - 1);
        return isExplained && !isKeptOut ? 0 : weight;
    });
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map(weight => weight / total);
}
