/** Finds the cost of links between locations in the sheet's link rows. The most specific matching row applies. */
import type { LinkCost, Location, Topology } from "../../domain/topology.js";

/** A link row of the sheet. `from` and `to` are `region/availability-zone`, `region/*` or `*`. */
export interface LinkRow {
    readonly from: string;
    readonly to: string;
    readonly latency_milliseconds: number;
    readonly megabytes_per_second: number;
}

const bytesPerMegabyte = 1_000_000;

/** Applies inside an availability zone if the sheet has no link row for the zone. */
const defaultLocalLink: LinkCost = { latencyMilliseconds: 0.1, bytesPerSecond: 1_250 * bytesPerMegabyte };

/** Applies between locations if no link row of the sheet matches. */
const defaultRemoteLink: LinkCost = { latencyMilliseconds: 50, bytesPerSecond: 10 * bytesPerMegabyte };

/** The topology of a sheet. A link row applies in both directions unless the opposite direction has its own row. */
export class SheetTopology implements Topology {
    private readonly links = new Map<string, LinkCost>();
    private readonly cachedLinks = new Map<string, LinkCost | undefined>();

    constructor(rows: readonly LinkRow[]) {
        for (const row of rows) {
            this.links.set(linkKey(row.from, row.to), {
                latencyMilliseconds: row.latency_milliseconds,
                bytesPerSecond: row.megabytes_per_second * bytesPerMegabyte,
            });
        }
    }

    link(from: Location, to: Location): LinkCost {
        return this.findLink(from, to) ?? (sameLocation(from, to) ? defaultLocalLink : defaultRemoteLink);
    }

    /** Returns whether a row of the sheet matches the link. */
    hasLink(from: Location, to: Location): boolean {
        return this.findLink(from, to) !== undefined;
    }

    private findLink(from: Location, to: Location): LinkCost | undefined {
        const key = linkKey(zoneName(from), zoneName(to));
        if (!this.cachedLinks.has(key)) {
            this.cachedLinks.set(key, this.findBestMatch(from, to));
        }
        return this.cachedLinks.get(key);
    }

    private findBestMatch(from: Location, to: Location): LinkCost | undefined {
        // Wildcard rows apply to links between availability zones, not inside one.
        const patternPairs = sameLocation(from, to) ? exactPatternPairs(from, to) : matchingPatternPairs(from, to);
        for (const [fromPattern, toPattern] of patternPairs) {
            const link = this.links.get(linkKey(fromPattern, toPattern))
                ?? this.links.get(linkKey(toPattern, fromPattern));
            if (link !== undefined) {
                return link;
            }
        }
        return undefined;
    }
}

function exactPatternPairs(from: Location, to: Location): [string, string][] {
    return [[zoneName(from), zoneName(to)]];
}

/** Returns the pairs of patterns that match the link, from the most to the least specific. */
function matchingPatternPairs(from: Location, to: Location): [string, string][] {
    const fromPatterns = [zoneName(from), `${from.region}/*`, "*"];
    const toPatterns = [zoneName(to), `${to.region}/*`, "*"];
    const pairs = fromPatterns.flatMap((fromPattern, fromRank) =>
        toPatterns.map((toPattern, toRank) => ({
            rank: fromRank + toRank,
            pair: [fromPattern, toPattern] as [string, string],
        }))
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
