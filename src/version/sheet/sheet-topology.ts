/** Links between availability zones from the sheet's rows: the most specific row wins. */
import type { LinkCost, Location, Topology } from "../../domain/topology.js";

/** A link row of the sheet. */
export interface LinkRow {
    readonly from: string;
    readonly to: string;
    readonly latency_milliseconds: number;
    readonly megabytes_per_second: number;
}

const bytesPerMegabyte = 1_000_000;

/** Inside an availability zone, where the sheet has no row for it. */
const localLink: LinkCost = { latencyMilliseconds: 0.1, bytesPerSecond: 1_250 * bytesPerMegabyte };

/** Between locations that the sheet does not know. */
const unknownLink: LinkCost = { latencyMilliseconds: 50, bytesPerSecond: 10 * bytesPerMegabyte };

/** Answers from link rows; rows hold both ways unless the other way has its own. */
export class SheetTopology implements Topology {
    private readonly links = new Map<string, LinkCost>();
    private readonly found = new Map<string, LinkCost | undefined>();

    constructor(rows: readonly LinkRow[]) {
        for (const row of rows) {
            this.links.set(linkKey(row.from, row.to), {
                latencyMilliseconds: row.latency_milliseconds,
                bytesPerSecond: row.megabytes_per_second * bytesPerMegabyte,
            });
        }
    }

    link(from: Location, to: Location): LinkCost {
        return this.find(from, to) ?? (sameLocation(from, to) ? localLink : unknownLink);
    }

    /** Whether a row gives the cost of this link. */
    covers(from: Location, to: Location): boolean {
        return this.find(from, to) !== undefined;
    }

    private find(from: Location, to: Location): LinkCost | undefined {
        const key = linkKey(zoneName(from), zoneName(to));
        if (!this.found.has(key)) {
            this.found.set(key, this.search(from, to));
        }
        return this.found.get(key);
    }

    private search(from: Location, to: Location): LinkCost | undefined {
        // A wildcard row speaks of links between availability zones, not of those inside one.
        const patterns = sameLocation(from, to) ? exactPairs(from, to) : allPairs(from, to);
        for (const [left, right] of patterns) {
            const link = this.links.get(linkKey(left, right)) ?? this.links.get(linkKey(right, left));
            if (link !== undefined) {
                return link;
            }
        }
        return undefined;
    }
}

function exactPairs(from: Location, to: Location): [string, string][] {
    return [[zoneName(from), zoneName(to)]];
}

/** Pairs of patterns from the most to the least specific. */
function allPairs(from: Location, to: Location): [string, string][] {
    const left = [zoneName(from), `${from.region}/*`, "*"];
    const right = [zoneName(to), `${to.region}/*`, "*"];
    const pairs = left.flatMap((one, leftRank) =>
        right.map((other, rightRank) => ({ rank: leftRank + rightRank, pair: [one, other] as [string, string] }))
    );
    return pairs.sort((one, other) => one.rank - other.rank).map(({ pair }) => pair);
}

function sameLocation(from: Location, to: Location): boolean {
    return from.region === to.region && from.availabilityZone === to.availabilityZone;
}

function zoneName(location: Location): string {
    return `${location.region}/${location.availabilityZone}`;
}

function linkKey(from: string, to: string): string {
    return `${from} ${to}`;
}
