/** Links between availability zones, as the sheet gives them. */

/** One-way cost of a link. */
export interface LinkCost {
    readonly latencyMilliseconds: number;
    readonly bytesPerSecond: number;
}

/** Where something stands. */
export interface Location {
    readonly region: string;
    readonly availabilityZone: string;
}

/** Answers what it costs to send bytes from one location to another. */
export interface Topology {
    link(from: Location, to: Location): LinkCost;
}

/** Milliseconds to move the given bytes over a link. */
export function transferMilliseconds(link: LinkCost, bytes: number): number {
    return link.latencyMilliseconds + (bytes * 1000) / link.bytesPerSecond;
}
